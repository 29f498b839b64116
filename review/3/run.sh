#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 timeout -k 2 118 python3 ../standins/stale.py "$PWD"
case $? in
71) exit 1 ;;
70) exit 0 ;;
*) exit 2 ;;
esac

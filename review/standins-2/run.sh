#!/usr/bin/env bash
# Plays the case whose name is the first argument, and writes its record into the folder that is
# the second one. Ends whatever the case started.
set -u
case_name=$1
folder=$2
cd "$(dirname "$0")/../.."
program=target/release/umbersail
player=target/review-2/review-2
if [ ! -x "$program" ] || [ ! -x "$player" ]; then
    echo "build first: cargo build --release, then review/build-2.sh" >&2
    exit 2
fi
REVIEW_DIR=$(mktemp -d) || exit 2
export REVIEW_DIR
finish() {
    if [ -n "${pid:-}" ]; then kill -KILL "$pid" 2>/dev/null; wait "$pid" 2>/dev/null; fi
    if [ -f "$REVIEW_DIR/pids" ]; then
        while read -r child; do kill -KILL "$child" 2>/dev/null; done <"$REVIEW_DIR/pids"
    fi
    if [ -n "${KEEP_LOGS:-}" ]; then cp "$REVIEW_DIR"/*.log "$KEEP_LOGS"/; fi
    rm -rf "$REVIEW_DIR"
}
trap finish EXIT
trap 'exit 2' INT TERM
"$player" "$case_name" "$program" "$folder/record.txt" &
pid=$!
wait "$pid"
code=$?
pid=
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac

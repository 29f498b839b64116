#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python scripts that need the standard library only
# (Python 3.11 or newer), so building them means compiling them once. Nothing is downloaded.
set -euo pipefail
cd "$(dirname "$0")/standins"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in *.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done

#!/usr/bin/env bash
# The stand-ins need nothing but Python's standard library; check that they
# compile.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/*.py review/*/*.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), *sys.argv[1:], "exec")' "$file"
done

#!/usr/bin/env bash
# The stand-ins need nothing but Python's standard library; check that they
# compile.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 -m compileall -q review

#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case can't run.
cd "$(dirname "$0")/../.."
exec python3 -B review/4/run.py

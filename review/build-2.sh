#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are Python programs that run on
# the libraries in target/deps, so they are compiled and imported once.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/target/deps:$PWD"
export PYTHONPATH
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import review.deployment_2, sesameward.standin.shard_target'
for script in review/6 review/7 review/8 review/9 review/10; do
    if [ -e "$script/case.py" ]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' \
            "$script/case.py"
    fi
done

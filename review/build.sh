#!/bin/sh
# The stand-ins are Python programs of the standard library and need no build; this checks that they can be read.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
for each in review/*.py review/*/*.py; do
    .venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$each" || exit 1
done

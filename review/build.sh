#!/bin/bash
# Builds the stand-ins of the scripts. They are Python programs that use its standard library only, so that this
# checks that they can be read; the gateway itself is built by the command of the deploy file.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 2; }
for file in standins.py [1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 2
done
echo "the stand-ins can be read"

#!/bin/sh
# Builds the stand-ins of the third review, after the build of the deploy file. They are Python programs without
# libraries, which are only checked here.
cd "$(dirname "$0")" || exit 1
for file in kit_3.py worker_3.py standins_3.py 1[1-5]/run.py; do
    if [ -e "$file" ]; then
        python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file" || exit 1
    fi
done

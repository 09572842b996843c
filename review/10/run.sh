#!/bin/sh
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the release and the stop.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/release/galenarail-gateway ] || exit 2
export PYTHONDONTWRITEBYTECODE=1
timeout -k 5 115 python3 case.py
code=$?
[ $code -le 1 ] || code=2
exit $code

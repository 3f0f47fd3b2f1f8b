#!/bin/sh
# Checks that the stand-ins can be run. They are Python 3 and use its standard library alone, so that nothing is built.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"'
for f in standins/*.py */scenario.py; do
	python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$f"
done

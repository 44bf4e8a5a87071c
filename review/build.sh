#!/bin/sh
# The stand-ins are Python with its standard library only; this checks that they compile.
cd "$(dirname "$0")" || exit 2
for file in standin/*.py [1-5]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done

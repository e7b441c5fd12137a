#!/bin/sh
# Checks the stand-ins and the cases, which are Python and need no compiler.
cd "$(dirname "$0")" || exit 2
exec python3 - standins/standins.py [1-5]/case.py <<'CHECK'
import sys

if sys.version_info < (3, 9):
    sys.exit("the stand-ins need Python 3.9 or later")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print(f"{len(sys.argv) - 1} files checked")
CHECK

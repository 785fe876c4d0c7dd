#!/bin/sh
# Checks and compiles the stand-ins of cases 4 to 6; they use the standard library.
cd "$(dirname "$0")" || exit 2
exec python3 -m py_compile minisite.py 4/case.py 5/case.py 6/case.py

#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are Python
# programs without dependencies; compiling them shows errors early.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - lib-2/deployment.py */case.py <<'END'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as text:
        compile(text.read(), path, "exec")
END

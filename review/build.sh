#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python programs without further libraries, so it only compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standin/*.py [0-9]/*.py <<'END'
import sys
for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, "exec")
    print("compiled", path)
END

#!/bin/sh
# Prepares what the scripts of cases 4 to 8 start beside the build of the deploy file. The stand-ins
# are Python programs that need no build, so this only checks that they compile.
set -e
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import glob
for path in sorted(glob.glob("rig-2/*.py") + glob.glob("[4-8]/*.py")):
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
PYTHON

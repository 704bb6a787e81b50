#!/bin/sh
# The stand-ins are Python 3 scripts without further packages, so there is nothing to compile; checks them only.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
python3 -c 'import ast, glob; [ast.parse(open(f).read(), f) for f in glob.glob("lib/*.py") + glob.glob("[0-9]/*.py")]'

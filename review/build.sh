#!/bin/sh
# Checks the stand-ins. They are Python with its standard library only, so that there is nothing to build; the program
# under review comes from the build of the deploy file.
cd "$(dirname "$0")" || exit 2
exec python3 -c "import ast, pathlib, sys
assert sys.version_info >= (3, 11), 'Python 3.11 or later is needed'
for path in sorted(pathlib.Path('.').rglob('*.py')):
    ast.parse(path.read_text(), str(path))"

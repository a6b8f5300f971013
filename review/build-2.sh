#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start: they
# are Python on the standard library and the dependencies in target/deps, so
# they are only compiled and imported here. Installs nothing.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PROGRAM'
import ast
import pathlib
import sys

for path in sorted(pathlib.Path('review').glob('[6-9]*/case.py')) + sorted(
    pathlib.Path('review').glob('10/case.py')
):
    ast.parse(path.read_text('utf-8'), str(path))
sys.path[:0] = ['.', 'target/deps', 'review']
sys.dont_write_bytecode = True
from lib2 import stage

print('stand-ins ready:', stage.__file__.rpartition('review/')[2])
PROGRAM

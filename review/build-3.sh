#!/usr/bin/env bash
# Builds the stand-ins and cases of the third review: Python files of the
# standard library, which are compiled to show that they are whole.
cd "$(dirname "$0")/.." || exit 2
exec python3 - <<'PY'
import pathlib

for folder in ('lib3', '11', '12', '13', '14', '15'):
    for path in sorted(pathlib.Path('review', folder).glob('*.py')):
        compile(path.read_text(), str(path), 'exec')
        print('checked', path)
PY

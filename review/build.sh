#!/bin/sh
# Builds the stand-ins of this review: they are Python files that need only
# the standard library, so they are compiled to find errors early.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review

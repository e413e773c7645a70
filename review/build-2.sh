#!/bin/sh
# Builds the stand-ins of the second review: one module of the standard library, compiled in place.
# The programs under test come from `sh deploy/build.sh`, which runs before.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile fleet2.py

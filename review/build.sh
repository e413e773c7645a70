#!/bin/sh
# Builds the stand-ins that the scripts start: they are plain Python and are only compiled.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q harness.py

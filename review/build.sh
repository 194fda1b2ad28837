#!/bin/sh
# Checks the stand-ins; they are Python of the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins.py [1-5]/case.py

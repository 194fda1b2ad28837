#!/bin/sh
# Puts the product and what it loads on the platform's path, target/deps.
set -eu
deps=target/deps
list=platform/requirements.txt
if [ ! -e "$deps/.done" ] || [ "$list" -nt "$deps/.done" ]; then
    python3 -m pip install -q -U --target "$deps" -r "$list"
    touch "$deps/.done"
fi
rm -rf "$deps/foxtailworks"
cp -r foxtailworks "$deps/foxtailworks"
python3 -m compileall -q "$deps"

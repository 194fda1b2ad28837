#!/bin/sh
# Installs the product and its dependencies in target/deps, which is on the
# platform's module path.
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

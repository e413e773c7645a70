#!/bin/sh
# Installs the libraries and packages that the daemons need into target/deps and compiles them.
set -eu
deps=target/deps
lock=requirements/daemons-lock.txt
if ! cmp -s "$lock" target/daemons-lock.txt; then
    rm -rf "$deps"
    python3 -m pip install -q --require-hashes --target "$deps" -r "$lock"
    cp "$lock" target/daemons-lock.txt
fi
for folder in packages/fescueseam/src packages/fescueseam-daemon/src platform; do
    for package in "$folder"/*/; do
        name=$(basename "$package")
        rm -rf "${deps:?}/$name"
        cp -r "$package" "$deps/$name"
        find "$deps/$name" -type d -name tests -prune -exec rm -rf {} +
    done
done
python3 -m compileall -q "$deps"

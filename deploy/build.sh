#!/bin/sh
# Installs the libraries and packages that the daemons need into target/deps and compiles them. The modules
# that a start imports are also written into one file.
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
PYTHONPATH="$deps" python3 -S -m fescueseam_daemon.module_bundle "$deps/modules.bundle" \
    fescueseam_daemon.trio_import fescueseam_platform.adapter fescueseam_daemon.handshake.running \
    fescueseam_daemon.handshake.agent fescueseam_daemon.handshake.balancer

#!/bin/sh
# Installs the libraries and packages that the daemons need into target/deps and compiles them. The modules
# that a start imports are also written into one file. All is built beside and put in place in one step, as
# processes may start meanwhile; a build that changes nothing leaves the folder as it is.
set -eu
deps=target/deps
lock=requirements/daemons-lock.txt
repository=$(pwd)
stage=target/stage.$$
new=$stage/$deps
trap 'rm -rf "$stage"' EXIT
mkdir -p "$stage/target"
if cmp -s "$lock" "$deps/daemons-lock.txt"; then
    cp -r "$deps" "$new"
else
    python3 -m pip install -q --require-hashes --target "$new" -r "$lock"
    cp "$lock" "$new/daemons-lock.txt"
fi
rm -f "$new/modules.bundle"
for folder in packages/fescueseam/src packages/fescueseam-daemon/src platform; do
    for package in "$folder"/*/; do
        name=$(basename "$package")
        rm -rf "${new:?}/$name"
        cp -r "$package" "$new/$name"
        find "$new/$name" -type d \( -name tests -o -name __pycache__ \) -prune -exec rm -rf {} +
    done
done
if [ -e "$deps" ] && diff -rq -x __pycache__ -x modules.bundle "$new" "$deps" >target/changes.$$; then
    rm -f target/changes.$$
    # The sources are the same; is the bundle whole and of this interpreter?
    if PYTHONPATH="$deps" python3 -S -m fescueseam_daemon.module_bundle --check "$deps/modules.bundle"; then
        exit 0
    fi
fi
rm -f target/changes.$$
# From the folder of the stage the paths in compiled code are those of the final place.
cd "$stage"
python3 -m compileall -q "$deps"
PYTHONPATH="$deps" python3 -S -m fescueseam_daemon.module_bundle "$deps/modules.bundle" \
    fescueseam_daemon.trio_import fescueseam_platform.adapter fescueseam_daemon.handshake.running \
    fescueseam_daemon.handshake.agent fescueseam_daemon.handshake.balancer
cd "$repository"
PYTHONPATH="$new" python3 -S -m fescueseam_daemon.replace_folder "$new" "$deps"

#!/bin/sh
# Runs the examples against emulators of the platform on loopback: run.sh BUILD_FOLDER
set -eu
build=$1
folder=$(mktemp -d)
"$build/heronshift" local --serve-port 7809 --folder "$folder" 2>"$folder/local.log" &
platform=$!
trap 'kill -INT $platform; wait $platform || true; rm -rf "$folder"' EXIT
until [ -s "$folder/settings.toml" ]; do sleep 0.1; done
"$build/examples/embed_core" | grep "rent 1 of m8"
"$build/examples/embed_thread" "$folder/settings.toml" "$folder/state.db" | grep "wk-000777 is done"
"$build/examples/embed_loop" "$folder/settings.toml" "$folder/state.db" | grep "this copy acts"
"$build/examples/embed_c" "$folder/settings.toml" "$folder/c.db" 2>"$folder/c.log" | grep "wk-000888 is done"

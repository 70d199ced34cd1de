#!/bin/bash
# Runs clang-tidy's checks that are a gate over the library and the program, with the options of .clang-tidy. Prints
# what it finds and exits 1 if there is anything.
#
#   tools/check_tidy.sh BUILD_FOLDER [PROCESSES]     the folder was configured with cmake; it need not be built
set -euo pipefail

# The other checks of .clang-tidy are not clean yet; they come here one by one.
readonly gate="-*,readability-function-size,readability-function-cognitive-complexity"

if [ "$#" -lt 1 ]; then
    echo "usage: tools/check_tidy.sh BUILD_FOLDER [PROCESSES]" >&2
    exit 2
fi
build=$(realpath "$1")
processes=${2:-$(nproc)}
cd "$(dirname "$0")/.."

if ! grep -qF "\"$PWD/src/" "$build/compile_commands.json"; then
    echo "$build/compile_commands.json knows no sources of $PWD" >&2
    exit 2
fi
output=$(mktemp)
trap 'rm -f "$output"' EXIT
# clang does not know all of GCC's warnings.
if ! run-clang-tidy -quiet -p "$build" -j "$processes" -checks="$gate" \
    -extra-arg=-Wno-unknown-warning-option "^$PWD/(src|apps)/" >"$output" 2>&1; then
    # Of what it says only the findings are of interest, and what else went wrong.
    grep -vE '^(clang-tidy|/usr/bin/clang-tidy)|^[0-9]+ warnings? generated|^$' "$output" || true
    echo "clang-tidy: FAILED"
    exit 1
fi
echo "clang-tidy: ok"

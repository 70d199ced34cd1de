#!/bin/bash
# Runs the clang-tidy checks that every change must pass on the library and the program, with the options of .clang-tidy.
# Prints the findings and exits 1 if there are any.
#
#   tools/check_tidy.sh BUILD_FOLDER [PROCESSES]     the folder must be configured with cmake, but need not be built
set -euo pipefail

# The other checks of .clang-tidy still have findings. Each is added here once its findings are fixed.
readonly gate="-*,readability-function-size,readability-function-cognitive-complexity"

if [ "$#" -lt 1 ]; then
    echo "usage: tools/check_tidy.sh BUILD_FOLDER [PROCESSES]" >&2
    exit 2
fi
build=$(realpath "$1")
processes=${2:-$(nproc)}
cd "$(dirname "$0")/.."

if ! grep -qF "\"$PWD/src/" "$build/compile_commands.json"; then
    echo "$build/compile_commands.json contains no sources of $PWD" >&2
    exit 2
fi
output=$(mktemp)
trap 'rm -f "$output"' EXIT
# The compile commands contain warning options of GCC that clang does not know.
if ! run-clang-tidy -quiet -p "$build" -j "$processes" -checks="$gate" \
    -extra-arg=-Wno-unknown-warning-option "^$PWD/(src|apps)/" >"$output" 2>&1; then
    # Prints the findings and errors, without progress lines and warning counts.
    grep -vE '^(clang-tidy|/usr/bin/clang-tidy)|^[0-9]+ warnings? generated|^$' "$output" || true
    echo "clang-tidy: FAILED"
    exit 1
fi
echo "clang-tidy: ok"

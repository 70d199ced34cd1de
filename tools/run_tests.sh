#!/bin/bash
# Runs the tests of a build folder, but for those that KNOWN-RED.txt at the root names, which it prints.
#
#   tools/run_tests.sh BUILD_FOLDER [options of ctest]
#
# KNOWN-RED.txt holds one line a test that fails for a real fault which is not mended yet: the test's exact name, its
# cause and its issue, with commas between. Three at most.
set -euo pipefail

if [ "$#" -lt 1 ]; then
    echo "usage: tools/run_tests.sh BUILD_FOLDER [options of ctest]" >&2
    exit 2
fi
build=$(realpath "$1")
shift
cd "$(dirname "$0")/.."

readonly list=KNOWN-RED.txt
readonly most_known_red=3

known_red=()
if [ -f "$list" ]; then
    mapfile -t known_red < <(grep -v '^[[:space:]]*$' "$list" || true)
fi
if [ "${#known_red[@]}" -eq 0 ]; then
    exec ctest --test-dir "$build" "$@"
fi
if [ "${#known_red[@]}" -gt "$most_known_red" ]; then
    echo "$list names ${#known_red[@]} tests, $most_known_red at most" >&2
    exit 1
fi

all_names=$(ctest --test-dir "$build" --show-only | sed -nE 's/^ *Test +#[0-9]+: (.*)$/\1/p')
passed_over=""
for line in "${known_red[@]}"; do
    IFS=, read -r name cause issue <<<"$line"
    name=$(sed -E 's/^[[:space:]]+|[[:space:]]+$//g' <<<"$name")
    if [[ -z "$name" || -z "${cause// /}" || -z "${issue// /}" ]]; then
        echo "$list: \"$line\" is not: test, cause, issue" >&2
        exit 1
    fi
    # Some builds leave tests out. A misspelt name passes nothing over, so the test itself fails then.
    if grep -qxF -- "$name" <<<"$all_names"; then
        echo "known red, not run: $line"
    else
        echo "known red, not in this build: $line"
    fi
    # Every character that means something to a regular expression stands for itself.
    escaped=$(sed 's/[][\.^$*+?(){}|/]/\\&/g' <<<"$name")
    passed_over+="${passed_over:+|}$escaped"
done
exec ctest --test-dir "$build" -E "^($passed_over)\$" "$@"

#!/bin/bash
# Runs a case: run_case.sh NUMBER. Exit status 1: a rule was broken, 0: it held, 2: the case could not run. With
# TROUBLE=0 it does the same without the disruption.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
number=$1
for program in target/heronshift "target/review/case-$number"; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: run the build of the deploy file and review/build.sh" >&2
        exit 2
    fi
done
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 1 119 "target/review/case-$number" target/heronshift "$folder" "review/$number/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"

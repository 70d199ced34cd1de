#!/bin/sh
# Exit status 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$here/../..
[ -x "$root/target/heronshift" ] && [ -x "$root/target/review-2/world" ] || exit 2
cd "$root" || exit 2
exec target/review-2/world lacks-field "$here/record.txt" target/heronshift

#!/bin/bash
# Builds what the cases start: the program of the deploy file, if it is not there yet, and the stand-ins of each case.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/heronshift ]; then
    cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DHERONSHIFT_TESTS=OFF
    cmake --build target -j8
fi
mkdir -p target/review
builds=()
for source in review/[0-9]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "target/review/case-$number" &
    builds+=($!)
done
for build in "${builds[@]}"; do
    wait "$build"
done

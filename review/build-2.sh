#!/bin/sh
# Builds the stand-ins that the cases of REPORT-2.md start. Run it after the build of the deploy file, from anywhere.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$here/../target/review-2"
g++ -std=c++20 -O2 -pthread "$here/standins-2/world.cpp" -o "$here/../target/review-2/world"

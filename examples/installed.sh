#!/bin/sh
# Installs heronshift into a temporary folder and builds two examples against it, with find_package and with pkg-config:
# installed.sh BUILD_FOLDER
set -eu
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cmake --install "$1" --prefix "$work/installed" >/dev/null
cat >"$work/CMakeLists.txt" <<END
cmake_minimum_required(VERSION 3.25)
project(outsider CXX)
set(CMAKE_CXX_STANDARD 20)
find_package(heronshift REQUIRED)
add_executable(outsider $here/embed_loop.cpp)
target_link_libraries(outsider PRIVATE heronshift::heronshift)
END
cmake -S "$work" -B "$work/build" -DCMAKE_PREFIX_PATH="$work/installed" >/dev/null
cmake --build "$work/build" >/dev/null
pc=$(dirname "$(find "$work/installed" -name heronshift.pc)")
flags=$(PKG_CONFIG_PATH=$pc pkg-config --define-variable=prefix="$work/installed" --cflags --static --libs heronshift)
# shellcheck disable=SC2086
cc "$here/embed_c.c" $flags -o "$work/embed_c"
"$work/embed_c" 2>&1 | grep usage
"$work/build/outsider" 2>&1 | grep usage

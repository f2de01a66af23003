#!/bin/bash
# Builds the stand-ins and the drivers of the cases into target/review/. The deploy file's build, or this
# script itself, builds the program under test.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target -j8 --target brambledoor test-loopback >/dev/null
mkdir -p target/review
libs="$(pkg-config --libs libmicrohttpd jansson libcurl gsl sfsexp) -llpsolve55 -lcolamd -lroaring -lpthread -ldl -lm"
flags="-std=c11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Iinclude -Isrc -Itests -Ireview/lib $(pkg-config --cflags libmicrohttpd jansson libcurl)"
for case in review/[0-9]; do
    [ -f "$case/case.c" ] || continue
    gcc $flags -Ireview/lib/park -o "target/review/case-$(basename "$case")" "$case/case.c" \
        review/lib/rig.c review/lib/park/*.c \
        target/tests/libtest-loopback.a target/tests/libtest-support.a target/libbrambledoor.a $libs
done

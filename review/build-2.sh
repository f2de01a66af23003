#!/bin/bash
# Builds the stand-ins and drivers of the second review's cases (review/4 to review/8) under
# target/review-2. Needs the packages of deploy/service.toml and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags="-std=gnu11 -O1 -g -Wall -Wextra -Ireview/lib2 $(pkg-config --cflags jansson)"
libs="$(pkg-config --libs jansson) -lm"
for source in review/lib2/case[0-9]*.c; do
    out=target/review-2/$(basename "$source" .c)
    gcc $flags -o "$out" "$source" review/lib2/case.c review/lib2/world.c $libs
done

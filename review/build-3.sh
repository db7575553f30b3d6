#!/usr/bin/env bash
# Builds the programs of the cases of this review into target/review-3/. The program itself is built by the deploy
# file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
out="${OUT:-target/review-3}"
mkdir -p "$out"
flags=(-std=c++20 -O1 -I. -Wall -Wextra -DBOOST_ASIO_NO_DEPRECATED -DBOOST_ERROR_CODE_HEADER_ONLY
    -DBOOST_DISABLE_ASSERTS -pthread)
compile() { "${CXX:-g++}" "${flags[@]}" -c "$1" -o "$2"; }
compile Tests/soak/http_server.cpp "$out/http_server.o" &
compile carawayway/json/base64.cpp "$out/base64.o" &
compile carawayway/json/json.cpp "$out/json.o" &
compile review/world_3/world.cpp "$out/world.o" &
for source in review/1[4-7]/*.cpp; do
    compile "$source" "$out/$(basename "$source" .cpp).o" &
done
for job in $(jobs -p); do
    wait "$job"
done
for source in review/1[4-7]/*.cpp; do
    name="$(basename "$source" .cpp)"
    "${CXX:-g++}" -pthread "$out/$name.o" "$out/world.o" "$out/http_server.o" "$out/base64.o" "$out/json.o" -lfmt \
        -o "$out/$name"
done

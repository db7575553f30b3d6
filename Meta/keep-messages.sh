#!/usr/bin/env bash
# Writes what gateways of a commit tell each other to Tests/kept_messages/COMMIT.txt, with the code of that commit.
# Usage: Meta/keep-messages.sh COMMIT
set -euo pipefail
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
commit="$(git -C "$root" rev-parse --verify --quiet "$1^{commit}")"
"$root/Meta/build-commit.sh" "$commit" >&2
folder="$root/build-commits/${commit:0:12}"
mapfile -t libraries < <(find "$folder/build" -name '*.a')
g++ -std=c++20 -I "$folder" -DBOOST_ASIO_NO_DEPRECATED -DBOOST_ERROR_CODE_HEADER_ONLY \
    "$root/Tests/kept_messages/write_samples.cpp" -o "$folder/build/write_samples" \
    -Wl,--start-group "${libraries[@]}" -Wl,--end-group -lflatbuffers -lfmt -lssl -lcrypto -lpthread
"$folder/build/write_samples" >"$root/Tests/kept_messages/${commit:0:7}.txt"

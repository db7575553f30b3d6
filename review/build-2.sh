#!/usr/bin/env bash
# Builds the programs of the cases of the second review into target/review-2/. They need what the program
# itself needs: a compiler, Boost and fmt.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
for source in review/*/play.cpp; do
    case="$(basename "$(dirname "$source")")"
    g++ -std=c++20 -O1 -Wall -Wextra -I . -pthread "$source" -o "target/review-2/case-$case" -lfmt
done

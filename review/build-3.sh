#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15, with the project's stand-ins that they use, into target/review-3.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cmake -S review/shared-3 -B target/review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-3

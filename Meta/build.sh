#!/usr/bin/env bash
# Configures and builds everything. BUILD_DIR overrides the build folder (default: build).
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cmake -S . -B "${BUILD_DIR:-build}" -G Ninja >/dev/null
cmake --build "${BUILD_DIR:-build}" -j "${BUILD_JOBS:-$(nproc)}"

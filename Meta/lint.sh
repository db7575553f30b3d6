#!/usr/bin/env bash
# Runs clang-tidy over the given sources, or over all of them. Needs a configured build folder.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
build="${BUILD_DIR:-build}"
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.cpp' | sort -u)
fi
printf '%s\0' "${files[@]}" | xargs -0 -n 1 -P "${LINT_JOBS:-$(nproc)}" clang-tidy -p "$build" --quiet 2>/dev/null
echo "lint: ${#files[@]} files clean"

#!/usr/bin/env bash
# Formats all sources in place; with --check only reports differences and fails on any.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.cpp' '*.hpp' | grep -v '_generated\.h' | sort -u)
if [ "${1:-}" = --check ]; then
    clang-format --dry-run --Werror "${files[@]}"
else
    clang-format -i "${files[@]}"
fi

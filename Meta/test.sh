#!/usr/bin/env bash
# Installs what is missing, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
./Meta/install.sh
./Meta/build.sh
summary="$(mktemp)"
trap 'rm -f "$summary"' EXIT
status=0
ctest --test-dir "${BUILD_DIR:-build}" --output-on-failure -j "${TEST_JOBS:-4}" | tee "$summary" || status=$?
passed="$(grep -cE ' +Passed ' "$summary" || true)"
failed="$(grep -cE '\*\*\*(Failed|Timeout|Exception)' "$summary" || true)"
echo "$passed passed, $failed failed"
exit "$status"

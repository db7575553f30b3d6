#!/usr/bin/env bash
# Runs the case with this number, which review/build.sh has built, and writes record.txt into its folder.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
program="target/review/case_$1"
if [ ! -x "$program" ] || [ ! -x target/carawayway ]; then
    echo "build with the line of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=1 118 "$program" "review/$1/record.txt" "$folder"
result=$?
[ "$result" -eq 0 ] || [ "$result" -eq 1 ] || exit 2
exit "$result"

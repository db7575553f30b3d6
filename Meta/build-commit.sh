#!/usr/bin/env bash
# Builds the program of a commit and prints its path. Worktree and build stay in a folder under build-commits/.
# Usage: Meta/build-commit.sh COMMIT
# COMMIT: any revision of this repository.
# BUILD_JOBS: number of compilers at once, 3 unless set.
set -euo pipefail
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
if [ $# -ne 1 ]; then
    echo "usage: $0 COMMIT" >&2
    exit 2
fi

commit="$(git -C "$root" rev-parse --verify --quiet "$1^{commit}")" || {
    echo "$0: $1 is no commit of this repository" >&2
    exit 1
}
folder="$root/build-commits/${commit:0:12}"
if [ ! -d "$folder" ]; then
    git -C "$root" worktree prune
    git -C "$root" worktree add --detach "$folder" "$commit" >&2
fi
# The place of the build in the sources lets the compiler cache find what other checkouts have built.
cmake -S "$folder" -B "$folder/build" -G Ninja -DCARAWAYWAY_PRODUCT_ONLY=ON >&2
cmake --build "$folder/build" --target carawayway -j "${BUILD_JOBS:-3}" >&2
echo "$folder/build/carawayway"

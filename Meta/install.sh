#!/usr/bin/env bash
# Installs the packages that building, testing and linting need (Debian).
set -euo pipefail
packages=(libboost1.81-dev libflatbuffers-dev flatbuffers-compiler libgflags-dev libfmt-dev librapidcheck-dev
    libssl-dev libgtest-dev libgmock-dev libbenchmark-dev ccache ninja-build cmake g++ clang-format clang-tidy curl)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi

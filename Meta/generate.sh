#!/usr/bin/env bash
# Regenerates the committed FlatBuffers headers. Needs flatc 2.0.8, the version of the library that is linked.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
flatc --version | grep -q ' 2\.0\.8$' || { echo "generate: flatc 2.0.8 is needed" >&2; exit 1; }
for schema in carawayway/wire/*.fbs; do
    flatc --cpp --cpp-std c++17 --scoped-enums -o carawayway/wire "$schema"
done

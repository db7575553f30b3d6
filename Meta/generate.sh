#!/usr/bin/env bash
# Regenerates the committed FlatBuffers headers. Needs flatc 2.0.8, the version of the library that is linked.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
flatc --version | grep -q ' 2\.0\.8$' || { echo "generate: flatc 2.0.8 is needed" >&2; exit 1; }
for schema in carawayway/wire/*.fbs; do
    flatc --cpp --cpp-std c++17 --scoped-enums -o carawayway/wire "$schema"
done
# The operators' calls are also JSON: their parser needs the schema itself, as a second header.
for schema in carawayway/operators/*.fbs; do
    flatc --cpp --cpp-std c++17 --scoped-enums --gen-object-api --gen-compare --gen-name-strings \
        --binary --schema --bfbs-builtins --bfbs-gen-embed -o carawayway/operators "$schema"
    rm -f "${schema%.fbs}.bfbs"
done

#!/usr/bin/env bash
# Writes the reference of settings and policy keys into docs/OPERATING.md. Needs a build.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
page=docs/OPERATING.md
reference="$("${BUILD_DIR:-build}/carawayway" check --key_reference; printf x)"
reference="${reference%x}"
awk -v reference="$reference" '
    /^<!-- end of the key reference/ { inside = 0 }
    !inside { print }
    /^<!-- begin of the key reference/ { inside = 1; printf "%s", reference }
' "$page" >"$page.new"
mv "$page.new" "$page"

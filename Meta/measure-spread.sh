#!/usr/bin/env bash
# Measures how long a policy change takes to come into force on all entry instances of a running deployment.
# Usage: Meta/measure-spread.sh FOLDER OPERATOR_ADDRESS [CHANGES]
# FOLDER has operator.token and the logs entry-*.log of the instances. Changes the shift cap of service hinnasto.
# Prints one line for each change, shortest time first: the number of instances and the milliseconds from the first
# instance to the last.
set -euo pipefail
folder="$1"
operator="$2"
changes="${3:-20}"
program="${BUILD_DIR:-build}/carawayway"
before="$(cat "$folder"/entry-*.log | grep -c 'event=policy-in-force' || true)"
for ((change = 1; change <= changes; ++change)); do
    "$program" ctl shift hinnasto --share "0.$((10 + change))" --operator "$operator" \
        --token_file "$folder/operator.token" >/dev/null
    sleep 1
done
echo "instances ms (log lines before: $before)"
grep -h 'event=policy-in-force.*change_id=change-' "$folder"/entry-*.log |
    sed 's/time=\([^ ]*\) .*revision=\([0-9]*\) .*/\2 \1/' |
    while read -r revision time; do echo "$revision $(date -d "$time" +%s%3N)"; done | sort -n |
    awk '{ if ($1 != revision) { if (revision) print count, last - first; revision = $1; first = $2; count = 0 }
           last = $2; ++count }
         END { print count, last - first }' | sort -k2n

#!/usr/bin/env bash
# Runs the commands of docs/MEASUREMENTS.md one at a time, in the order of the page, and prints the file of each result.
# RESULTS overrides the results folder (default: BUILD_DIR/measurements). Takes about 16 minutes.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
build="${BUILD_DIR:-build}"
results="${RESULTS:-$build/measurements}"
mkdir -p "$results"
failed=0
number=0

# measure NAME COMMAND...: runs the command with a timeout, so that one that hangs does not block the others.
measure() {
    local name="$1" file
    shift
    number=$((number + 1))
    file="$(printf '%s/%02d-%s.txt' "$results" "$number" "$name")"
    {
        printf '$ %s\n' "$*"
        printf '%s cores, load average %s\n' "$(nproc)" "$(cut -d' ' -f1-3 /proc/loadavg)"
        timeout 120 "$@" 2>&1
    } >"$file"
    if [ "$?" -ne 0 ]; then
        failed=$((failed + 1))
        echo "failed: $file"
    else
        echo "$file"
    fi
}

load_tool=("$build/bench/load/load_tool" "--program_folder=$build")
association=("${load_tool[@]}" --policy=examples/association/policy.ini)
drain_firm=("${load_tool[@]}" --policy=examples/drain-firm/policy.ini --client_delay_ms=1 --region_delay_ms=55)

for load in 0.5 0.8 1.0 1.3 2.0; do
    measure "association-$load" "${association[@]}" "--load=$load"
    measure "drain-firm-$load" "${drain_firm[@]}" "--load=$load"
done
for rule in random round_robin least_in_flight entries; do
    measure "association-0.8-$rule" "${association[@]}" --load=0.8 --seconds=20 "--rules=$rule"
done
measure association-1.3-fixed "${association[@]}" --load=1.3 --distribution=fixed --rules=entries --seconds=10
measure association-0.8-even "${association[@]}" --load=0.8 --region_demand=even --rules=least_in_flight,entries
measure added-latency "${association[@]}" --scenario=added_latency --link_delays=false --service_time_ms=1 --distribution=fixed
measure server-drain "${drain_firm[@]}" --scenario=server_drain --server=randevu-1 --load=0.8 --seconds=6
measure entry-stop "${association[@]}" --scenario=entry_stop --entry=tre-a-2 --load=0.8 --seconds=16
measure entry-kill "${association[@]}" --scenario=entry_kill --entry=hki-b-1 --load=1.1 --distribution=fixed --seconds=14
measure steering-benchmark "$build/bench/steering/steering_benchmark" --benchmark_min_time=0.1
measure steering-experiment "$build/bench/steering/steering_experiment"
measure client-blocks "$build/bench/client_blocks/client_blocks_bench" --benchmark_min_time=0.1
measure requests "$build/bench/requests/requests_bench" --benchmark_min_time=0.1
if [ -x "$build/bench/engine/engine_benchmark" ]; then
    measure engine "$build/bench/engine/engine_benchmark" --benchmark_min_time=0.1
fi
echo "results in $results; $failed failed"
exit "$((failed > 0))"

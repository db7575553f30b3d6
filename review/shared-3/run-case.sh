#!/usr/bin/env bash
# run-case.sh PROGRAM FOLDER: runs a case with the gateways for which its program writes settings. Exits with
# 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
set -uo pipefail
program="$1"
case_folder="$(cd "$2" && pwd)"
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
world="target/review-3/$program"
if [ ! -x target/carawayway ] || [ ! -x "$world" ]; then
    echo "build first: the line build of deploy/system.toml, then review/build-3.sh" >&2
    exit 2
fi
folder="$(mktemp -d)"
pids=()
end_all() {
    local pid
    if [ -n "${world_pid:-}" ]; then
        kill -TERM "$world_pid" 2>/dev/null # timeout passes it on
        wait "$world_pid" 2>/dev/null
    fi
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    rm -rf "$folder"
}
trap end_all EXIT
trap 'exit 2' INT TERM
timeout 112 "$world" "$folder" "$case_folder/record.txt" "${TROUBLE:-1}" &
world_pid=$!
for _ in $(seq 100); do
    [ -e "$folder/settings-written" ] && break
    sleep 0.1
done
for settings in "$folder"/*.ini; do
    # The command of deploy/system.toml, with the settings of this gateway.
    target/carawayway gateway --settings "$settings" >"${settings%.ini}.log" 2>&1 &
    pids+=("$!")
done
wait "$world_pid"
status=$?
world_pid=
for log in "$folder"/*.log; do
    [ -n "${KEEP_LOGS:-}" ] && cp "$log" "$KEEP_LOGS/"
done
[ "$status" -le 1 ] || status=2
exit "$status"

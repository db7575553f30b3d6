#!/usr/bin/env bash
# Installs, builds and runs a small deployment on this machine, sends a few requests through it and checks the results.
# Exits with 0 if all results are as expected. Leaves no processes and no files behind, except for the build.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
./Meta/install.sh
./Meta/build.sh

build="$PWD/${BUILD_DIR:-build}"
program="$build/carawayway"
platform_program="$build/stand_ins/platform/platform_stand_in"
backend_program="$build/stand_ins/backend/backend_stand_in"
wait_seconds=30
folder="$(mktemp -d)"
declare -A pids=()
declare -A callers=()
entries=()
mismatches=0

stop_all() {
    local name
    for name in "${!pids[@]}"; do
        kill -KILL "${pids[$name]}" 2>/dev/null || true
        wait "${pids[$name]}" 2>/dev/null || true
    done
    rm -rf "$folder"
}
trap stop_all EXIT
trap 'exit 1' INT TERM

fail() {
    local log
    echo "quickstart: $1" >&2
    for log in "$folder"/*.log; do
        echo "--- last lines of $(basename "$log")" >&2
        tail -n 5 "$log" >&2
    done
    exit 1
}

# wait_until DESCRIPTION COMMAND...: runs the command until it succeeds.
wait_until() {
    local description="$1" end=$((SECONDS + wait_seconds))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || fail "timed out after $wait_seconds s: $description"
        sleep 0.05
    done
}

# start NAME COMMAND...: runs the command in the background; its output goes to NAME.log.
start() {
    local name="$1"
    shift
    "$@" >"$folder/$name.log" 2>&1 &
    pids[$name]=$!
}

# value NAME KEY: prints the last value of KEY= in the log of a process.
value() {
    sed -n "s/.*\b$2=\([^ ]*\).*/\1/p" "$folder/$1.log" | tail -n 1
}

# server_address SERVER: prints the address of a server, from the log of the backend stand-in.
server_address() {
    sed -n "s/^server=$1 listening=//p" "$folder/backend.log"
}

# expect DESCRIPTION EXPECTED SEEN: compares the two values, prints the result and counts mismatches.
expect() {
    local verdict=ok
    if [ "$2" != "$3" ]; then
        verdict=WRONG
        mismatches=$((mismatches + 1))
    fi
    printf '%-5s %-58s expected: %-14s seen: %s\n' "$verdict" "$1" "$2" "$3"
}

write_policy() {
    cat <<POLICY
[policy]
change_id = quickstart-1
lookup_lifetime_ms = 1000

[region uusimaa]
[region pirkanmaa]

[domain hki-a]
region = uusimaa
[domain hki-b]
region = uusimaa
[domain tre-a]
region = pirkanmaa

[service saatavuus]
semantics = idempotent
[service varaus]
semantics = non-idempotent
[service hinnasto]
semantics = idempotent

[client_blocks]
127.0.0.0/8 = uusimaa
POLICY
    local server
    for server in "${servers[@]}"; do
        printf '\n[server %s]\nservice = %s\ndomain = %s\naddress = %s\nslots = 3\n' "$server" "${server%%-*}" \
            "${server#*-}" "$(server_address "$server")"
    done
}

# write_settings NAME DOMAIN REGION: prints the settings of an entry instance. The system chooses the ports; the peers
# are the entry instances that were started before.
write_settings() {
    local peer domain
    cat <<SETTINGS
[entry]
name = $1
failure_domain = $2
region = $3
caller_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
operator_address = 127.0.0.1:0
deployment_key_file = deployment.key
operator_token_file = operator.token

[platform]
addresses = $(value platform listening)
SETTINGS
    for peer in "${entries[@]}"; do
        domain="${peer%-*}"
        printf '\n[peer %s]\nfailure_domain = %s\nregion = %s\npeer_address = %s\ncaller_address = %s\n' \
            "$peer" "$domain" "${regions[$domain]}" "$(value "$peer" peers)" "${callers[$peer]}"
    done
}

start_entry() {
    local name="$1" domain="${1%-*}"
    write_settings "$name" "$domain" "${regions[$domain]}" >"$folder/$name.ini"
    start "$name" "$program" entry --settings "$folder/$name.ini"
    wait_until "$name starts" grep -q ' event=entry-started ' "$folder/$name.log"
    callers[$name]="$(value "$name" callers)"
    entries+=("$name")
}

all_servers_owned() {
    local server
    for server in "${servers[@]}"; do
        grep -qhE " event=server-owned server=$server\$" "$folder"/*-1.log || return 1
    done
}

# request ENTRY SERVICE FLAGS...: prints "EXECUTION SERVER", for example "executed varaus-hki-a".
request() {
    local entry="$1" service="$2" answer
    shift 2
    answer="$("$program" request --entry "${callers[$entry]}" --service "$service" "$@" 2>&1)" || true
    sed -n '1s/.*execution=\([^ ]*\)\( X-Server=\([^ ]*\)\)\?.*/\1 \3/p' <<<"$answer"
}

# try ENTRY SERVICE: writes the outcome to the file "outcome" and succeeds if the request was executed. Entry instances
# reject requests for servers of another region until they have learned of its servers.
try() {
    request "$1" "$2" >"$folder/outcome"
    grep -q '^executed ' "$folder/outcome"
}

# executions ID: prints how often the backend servers started this request.
executions() {
    grep -F "\"request_id\":\"$1\"" "$folder/history" | grep -cF '"event":"start"' || true
}

stop_entry() {
    local name="$1" status=0 end=$((SECONDS + wait_seconds))
    kill -TERM "${pids[$name]}" 2>/dev/null || true
    while kill -0 "${pids[$name]}" 2>/dev/null && [ "$SECONDS" -lt "$end" ]; do
        sleep 0.05
    done
    kill -KILL "${pids[$name]}" 2>/dev/null || true
    wait "${pids[$name]}" || status=$?
    unset "pids[$name]"
    expect "$name stops on SIGTERM: exit status" 0 "$status"
}

declare -A regions=([hki-a]=uusimaa [hki-b]=uusimaa [tre-a]=pirkanmaa)
servers=(saatavuus-hki-a saatavuus-hki-b saatavuus-tre-a varaus-hki-a varaus-hki-b varaus-tre-a hinnasto-tre-a)
random_secret() { od -An -N32 -tx1 /dev/urandom | tr -d ' \n'; }
(umask 077 && random_secret >"$folder/deployment.key" && random_secret >"$folder/operator.token")

start platform "$platform_program"
server_list="$(printf '%s@127.0.0.1:0/3,' "${servers[@]}")"
start backend "$backend_program" --servers "${server_list%,}" --history "$folder/history"
wait_until "the platform stand-in starts" grep -q '^control=' "$folder/platform.log"
wait_until "the backend stand-in starts" grep -q '^control=' "$folder/backend.log"

write_policy >"$folder/policy.ini"
"$program" check "$folder/policy.ini" >/dev/null || fail "the policy is not valid"
curl -sf -o /dev/null "http://$(value platform listening)/v3/kv/put" \
    -d "{\"key\":\"$(printf /carawayway/policy | base64 -w 0)\",\"value\":\"$(base64 -w 0 "$folder/policy.ini")\"}" ||
    fail "the platform stand-in did not store the policy"

for name in hki-a-1 hki-b-1 tre-a-1; do
    start_entry "$name"
done
for name in "${entries[@]}"; do
    wait_until "$name is ready" curl -sf "http://${callers[$name]}/ready"
done
wait_until "every backend server has an owner" all_servers_owned
echo "Running: ${#entries[@]} entry instances in 2 regions, ${#servers[@]} backend servers."
echo

"$program" lookup --entry "${callers[tre-a-1]}" --service varaus || fail "the look-up failed"
echo
lookup="$("$program" lookup --entry "${callers[hki-a-1]}" --service varaus --json)" || fail "the look-up failed"
expect "look-up from uusimaa: home region" uusimaa "$(sed -n 's/.*"home_region":"\([^"]*\)".*/\1/p' <<<"$lookup")"
expect "look-up from uusimaa: entry instances" 3 "$(grep -o '"address":' <<<"$lookup" | wc -l)"

seen="$(request hki-a-1 saatavuus --path /items/17)"
expect "availability (idempotent) through hki-a-1" executed "${seen%% *}"

id="$(sed -n 's/.*"request_id_prefix":"\([^"]*\)".*/\1/p' <<<"$lookup")quickstart"
booking=(varaus --method POST --path /book --body 'counter 4, 09:30' --request_id "$id")
seen="$(request hki-a-1 "${booking[@]}")"
expect "reservation (non-idempotent) through hki-a-1" executed "${seen%% *}"
expect "the same reservation resent through tre-a-1" "$seen" "$(request tre-a-1 "${booking[@]}")"
expect "executions of the reservation at the backend servers" 1 "$(executions "$id")"

wait_until "a price list request through hki-b-1 is executed" try hki-b-1 hinnasto
expect "price list through hki-b-1, servers only in pirkanmaa" "executed hinnasto-tre-a" "$(<"$folder/outcome")"

for name in "${entries[@]}"; do
    stop_entry "$name"
done
echo
if [ "$mismatches" -gt 0 ]; then
    fail "$mismatches of the results above are not as expected"
fi
echo "quickstart: all results are as expected"

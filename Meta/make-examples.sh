#!/usr/bin/env bash
# Writes the example policies and settings of two customers to examples/. The files are committed; run this script
# again after changing the sizes below.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

# write_policy FOLDER CUSTOMER CONNECTIONS ADDRESS_PREFIX: the arrays domains, regions and services describe the
# deployment. Servers are spread evenly over the failure domains; each has its own loopback address.
write_policy() {
    local folder="$1" customer="$2" connections="$3" address_prefix="$4"
    printf '# Policy of %s. Written by Meta/make-examples.sh.\n' "$customer"
    printf '[policy]\nchange_id = %s-1\ncomment = first policy\n' "$folder"
    local region index=0
    for region in "${regions[@]}"; do
        printf '\n[region %s]\n' "$region"
    done
    for domain in "${domains[@]}"; do
        printf '\n[domain %s]\nregion = %s\n' "$domain" "${regions[$((index / 2))]}"
        index=$((index + 1))
    done
    local service name semantics servers slots
    for service in "${services[@]}"; do
        read -r name semantics servers slots <<<"$service"
        printf '\n[service %s]\ncustomer = %s\nsemantics = %s\n' "$name" "$customer" "$semantics"
    done
    local next_domain=0 service_number=0 number
    for service in "${services[@]}"; do
        read -r name semantics servers slots <<<"$service"
        service_number=$((service_number + 1))
        for ((number = 1; number <= servers; ++number)); do
            printf '\n[server %s-%d]\nservice = %s\ndomain = %s\n' "$name" "$number" "$name" "${domains[$next_domain]}"
            printf 'address = %s.%d.%d:8080\n' "$address_prefix" "$service_number" "$number"
            printf 'slots = %d\nconnections = %d\n' "$slots" "$connections"
            # The next service continues with the next failure domain, so that the remainders are spread over the domains.
            next_domain=$(((next_domain + 1) % ${#domains[@]}))
        done
    done
    printf '\n[client_blocks]\n'
    for index in "${!regions[@]}"; do
        printf '127.%d.0.0/16 = %s\n' "$(((index + 1) * 10))" "${regions[$index]}"
    done
}

# write_entry INDEX FIRST_PORT: writes the settings of one entry instance, with all others as peers.
write_entry() {
    local own="$1" first_port="$2" index name domain region
    read -r name domain region <<<"${entries[$own]}"
    printf '# Settings of entry instance %s. Written by Meta/make-examples.sh.\n' "$name"
    printf '[entry]\nname = %s\nfailure_domain = %s\nregion = %s\n' "$name" "$domain" "$region"
    printf 'caller_address = 127.0.0.1:%d\n' "$((first_port + own))"
    printf 'peer_address = 127.0.0.1:%d\n' "$((first_port + 100 + own))"
    printf 'operator_address = 127.0.0.1:%d\n' "$((first_port + 200 + own))"
    printf 'deployment_key_file = deployment.key\noperator_token_file = operator.token\n'
    printf '\n[platform]\naddresses = 127.0.0.1:20079\n'
    for index in "${!entries[@]}"; do
        if [ "$index" != "$own" ]; then
            read -r name domain region <<<"${entries[$index]}"
            printf '\n[peer %s]\nfailure_domain = %s\nregion = %s\n' "$name" "$domain" "$region"
            printf 'peer_address = 127.0.0.1:%d\n' "$((first_port + 100 + index))"
            printf 'caller_address = 127.0.0.1:%d\n' "$((first_port + index))"
        fi
    done
}

# write_deployment FOLDER CUSTOMER CONNECTIONS ADDRESS_PREFIX FIRST_PORT DOMAIN...: writes a policy and the settings of
# one entry instance in each failure domain and of a second one in each DOMAIN.
write_deployment() {
    local folder="$1" customer="$2" connections="$3" address_prefix="$4" first_port="$5" index domain name
    shift 5
    mkdir -p "examples/$folder"
    rm -f "examples/$folder"/*.ini
    write_policy "$folder" "$customer" "$connections" "$address_prefix" >"examples/$folder/policy.ini"
    local entries=()
    for index in "${!domains[@]}"; do
        entries+=("${domains[$index]}-1 ${domains[$index]} ${regions[$((index / 2))]}")
    done
    for domain in "$@"; do
        for index in "${!domains[@]}"; do
            if [ "${domains[$index]}" = "$domain" ]; then
                entries+=("$domain-2 $domain ${regions[$((index / 2))]}")
            fi
        done
    done
    for index in "${!entries[@]}"; do
        read -r name _ <<<"${entries[$index]}"
        write_entry "$index" "$first_port" >"examples/$folder/entry-$name.ini"
    done
}

regions=(uusimaa pirkanmaa pohjanmaa)
domains=(hki-a hki-b tre-a tre-b oulu-a oulu-b)
services=("saatavuus idempotent 16 6" "varaus non-idempotent 12 4" "siirto non-idempotent 12 3"
    "hinnasto idempotent 12 3")
write_deployment association "Kosmetiikkatiskien Tukkuliitto ry" 350 127.101 21000 hki-a tre-a

regions=(marmara ege ic-anadolu)
domains=(kadikoy gebze bornova karsiyaka cankaya sincan)
services=("durum idempotent 14 6" "randevu non-idempotent 12 3" "tahsilat non-idempotent 12 3"
    "ekip idempotent 12 3")
write_deployment drain-firm "Tıkanıklık Ustaları Kanal Hizmetleri" 330 127.102 23000 kadikoy gebze bornova cankaya

// The deployments that the system tests run.
#pragma once

#include "Tests/support/caller.hpp"
#include "Tests/support/deployment.hpp"

namespace carawayway::test_support {

inline std::vector<service_spec> both_services(std::uint32_t servers_per_domain) {
    return {{"varaus", config::request_semantics::non_idempotent, servers_per_domain},
            {"saatavuus", config::request_semantics::idempotent, servers_per_domain}};
}

// Two regions with one entry each.
inline deployment_options two_regions(std::uint32_t servers_per_domain = 2) {
    return {{{"hki-a-1", "hki-a", "uusimaa"}, {"tre-a-1", "tre-a", "pirkanmaa"}},
            both_services(servers_per_domain)};
}

// A failure domain with two entries, and another region with one.
inline deployment_options two_neighbours(std::uint32_t servers_per_domain = 2) {
    return {
        {{"hki-a-1", "hki-a", "uusimaa"}, {"hki-a-2", "hki-a", "uusimaa"}, {"tre-a-1", "tre-a", "pirkanmaa"}},
        both_services(servers_per_domain)};
}

} // namespace carawayway::test_support

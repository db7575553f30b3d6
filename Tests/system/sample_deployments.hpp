// Deployments that the system tests use.
#pragma once

#include "Tests/support/caller.hpp"
#include "Tests/support/deployment.hpp"

namespace carawayway::test_support {

inline std::vector<service_spec> sample_services(std::uint32_t servers_per_domain) {
    return {{"varaus", config::request_semantics::non_idempotent, servers_per_domain},
            {"saatavuus", config::request_semantics::idempotent, servers_per_domain}};
}

// Two regions with one entry each.
inline deployment_options one_entry_per_region(std::uint32_t servers_per_domain = 2) {
    return {{{"hki-a-1", "hki-a", "uusimaa"}, {"tre-a-1", "tre-a", "pirkanmaa"}},
            sample_services(servers_per_domain)};
}

// Two entries in one failure domain, and one entry in another region.
inline deployment_options two_entries_in_one_domain(std::uint32_t servers_per_domain = 2) {
    return {
        {{"hki-a-1", "hki-a", "uusimaa"}, {"hki-a-2", "hki-a", "uusimaa"}, {"tre-a-1", "tre-a", "pirkanmaa"}},
        sample_services(servers_per_domain)};
}

} // namespace carawayway::test_support

// Tests that inconsistent policies are rejected: unknown references, servers with the same address,
// capacities that exceed the slots of a region, and drains that leave a service without servers.
#include "Tests/config/sample_policy.hpp"
#include "carawayway/config/policy_validator.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace carawayway::config {
namespace {

struct broken_policy {
    std::string section;
    std::string key;
    std::function<void(policy&)> change;
};

const std::vector<broken_policy>& broken_policies() {
    using std::chrono::microseconds;
    using std::chrono::milliseconds;
    constexpr auto draining = administrative_state::draining;
    static const std::vector<broken_policy> cases{
        {"policy", "change_id", [](policy& p) { p.change_id = "two words"; }},
        {"policy", "comment", [](policy& p) { p.comment = "\xC0\xAF"; }},
        {"policy", "comment", [](policy& p) { p.comment = " padded"; }},
        {"policy", "lookup_lifetime_ms", [](policy& p) { p.lookup_lifetime = {}; }},
        {"policy", "lookup_lifetime_ms", [](policy& p) { p.lookup_lifetime = microseconds(1500); }},
        {"policy", "id_acceptance_ms", [](policy& p) { p.id_acceptance = -milliseconds(1); }},
        {"policy", "peer_requests_in_flight", [](policy& p) { p.peer_requests_in_flight = 0; }},
        {"policy", "peer_bytes_in_flight", [](policy& p) { p.peer_bytes_in_flight = 1; }},
        {"region North", "",
         [](policy& p) {
             p.regions.push_back({"North", {}});
         }},
        {"region north", "",
         [](policy& p) {
             p.regions.push_back({"north", {}});
         }},
        {"region south", "capacity", [](policy& p) { p.regions[1].capacity = 7; }},
        {"region south", "capacity", [](policy& p) { p.regions[1].capacity = 0; }},
        {"domain n2", "region", [](policy& p) { p.failure_domains[1].region = "west"; }},
        {"domain s1", "state", [](policy& p) { p.failure_domains[2].state = draining; }},
        {"service stock", "", [](policy& p) { p.services.push_back(p.services[0]); }},
        {"service stock", "customer", [](policy& p) { p.services[0].customer = "a\nb"; }},
        {"service stock", "maximum_timeout_ms",
         [](policy& p) { p.services[0].maximum_timeout = milliseconds(9); }},
        {"service stock", "retry_share", [](policy& p) { p.services[0].retry_share = 1.01; }},
        {"service stock", "retry_share", [](policy& p) { p.services[0].retry_share = std::nan(""); }},
        {"service stock", "shift_cap_share", [](policy& p) { p.services[0].cap.share = -0.1; }},
        {"service stock", "shift_window_ms", [](policy& p) { p.services[0].cap.window = {}; }},
        {"service stock", "shift_cap_requests_per_second",
         [](policy& p) { p.services[0].cap.requests_per_second = -1; }},
        {"service stock", "regions",
         [](policy& p) {
             p.services[0].regions = {"north", "west"};
         }},
        {"service stock", "regions",
         [](policy& p) {
             p.services[0].regions = {"north", "north"};
         }},
        {"service stock", "regions", [](policy& p) { p.services[0].regions = {"south"}; }},
        {"server stock-2", "", [](policy& p) { p.servers[0].name = "stock-2"; }},
        {"server stock-1", "service", [](policy& p) { p.servers[0].service = "stok"; }},
        {"server stock-1", "domain", [](policy& p) { p.servers[0].failure_domain = ""; }},
        {"server stock-1", "address", [](policy& p) { p.servers[0].address = "localhost:80"; }},
        {"server stock-1", "address", [](policy& p) { p.servers[0].address = "127.0.0.1"; }},
        {"server stock-1", "address", [](policy& p) { p.servers[0].address = "127.0.0.1:0"; }},
        {"server stock-1", "address", [](policy& p) { p.servers[0].address = "127.0.0.1:65536"; }},
        {"server stock-1", "address", [](policy& p) { p.servers[0].address = "::1:80"; }},
        {"server stock-1", "address", [](policy& p) { p.servers[0].address = "0.0.0.0:80"; }},
        {"server stock-1", "address", [](policy& p) { p.servers[0].address = "[::ffff:127.0.0.1]:80"; }},
        {"server booking-1", "address", [](policy& p) { p.servers[1].address = "[0:0::1]:8003"; }},
        {"server stock-1", "slots", [](policy& p) { p.servers[0].slots = 0; }},
        {"server stock-1", "connections", [](policy& p) { p.servers[0].connections = 3; }},
        {"server booking-1", "state", [](policy& p) { p.servers[2].state = draining; }},
        {"server stock-2", "state",
         [](policy& p) {
             p.failure_domains[0].state = draining;
             p.servers[1].state = draining;
         }},
        {"client_blocks", "192.0.2.0/33", [](policy& p) { p.client_blocks[0].prefix = "192.0.2.0/33"; }},
        {"client_blocks", "192.0.2.0/16", [](policy& p) { p.client_blocks[0].prefix = "192.0.2.0/16"; }},
        {"client_blocks", "2001:0db8::/32",
         [](policy& p) {
             p.client_blocks.push_back({"2001:0db8::/32", "north"});
         }},
        {"client_blocks", "192.0.2.0/24", [](policy& p) { p.client_blocks[0].region = "west"; }},
        {"drain", "entries",
         [](policy& p) {
             p.draining_entries = {"a", "a"};
         }},
        {"drain", "entries", [](policy& p) { p.draining_entries = {"A"}; }},
    };
    return cases;
}

TEST(policy_validator_test, each_inconsistency_is_reported_at_its_key) {
    EXPECT_TRUE(validate(sample_policy()).empty());
    for (const auto& broken : broken_policies()) {
        auto content = sample_policy();
        broken.change(content);
        const auto problems = validate(content);
        EXPECT_TRUE(std::any_of(problems.begin(), problems.end(),
                                [&broken](const diagnostic& problem) {
                                    return problem.section == broken.section && problem.key == broken.key;
                                }))
            << broken.section << ' ' << broken.key;
    }
}

TEST(policy_validator_test, drains_that_leave_an_available_server_are_accepted) {
    auto content = sample_policy();
    content.failure_domains[0].state = administrative_state::draining;
    EXPECT_TRUE(validate(content).empty());
    content = sample_policy();
    content.servers[1].state = administrative_state::draining;
    EXPECT_TRUE(validate(content).empty());
}

// The store rejects larger values, so the validator must reject a policy that could not be written.
TEST(policy_validator_test, a_policy_above_the_store_limit_is_rejected) {
    auto content = sample_policy();
    for (int index = 0; index < 70000; ++index) {
        content.client_blocks.push_back({fmt::format("10.{}.{}.0/24", index / 256, index % 256), "north"});
    }
    EXPECT_FALSE(validate(content).empty());
}

} // namespace
} // namespace carawayway::config

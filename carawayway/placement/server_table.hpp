// All backend servers that a gateway knows, with the rules for when each may be sent a request.
#pragma once

#include "carawayway/placement/gateway_map.hpp"
#include "carawayway/placement/server_state.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace carawayway::placement {

using server_handle = std::shared_ptr<server_state>;

// How many requests a cold server may receive from all gateways together.
struct cold_limits {
    double rate_factor = 1.0;               // factor on the rate that a cold server tolerates
    double extra_requests_per_second = 0.0; // requests a second beyond it

    bool operator==(const cold_limits&) const = default;
};

struct cold_start_profile {
    double requests_per_second = 0.0; // that a cold server of the service tolerates
    base::duration cold_start{};

    bool operator==(const cold_start_profile&) const = default;
};

enum class health_check_result : std::uint8_t { healthy, unhealthy, other_server, no_answer };

class server_table {
public:
    // Part of the allowance for a cold server that is used, since sends of several gateways are not
    // synchronised.
    static constexpr double used_cold_share = 0.7;
    // Requests a second that make a feeder worth having; the allowance is divided among as many gateways.
    static constexpr double smallest_feeder_rate = 3.0;
    // Time between probes of a suspect server; doubled after each failure up to the longest.
    static constexpr base::duration first_probe_interval = std::chrono::milliseconds{500};
    static constexpr base::duration longest_probe_interval = std::chrono::seconds{2};
    // Requests in a row without any answer that make a server suspect.
    static constexpr std::uint32_t tolerated_silent_failures = 2;

    server_table(locality own, cold_limits cold) : m_own(std::move(own)), m_gateways(m_own), m_cold(cold) {}

    void put(const fleet::server_registration& facts, base::time_point now);
    // The entry disappeared while the store was well: the server has left.
    void erase(const std::string& id);
    // The entry disappeared while the store was disturbed: it counts until erase_missing().
    void mark_missing(const std::string& id);
    // Erases the entries that are still missing; returns their IDs.
    std::vector<std::string> erase_missing();

    void set_evacuated(const std::string& domain, bool evacuated, base::time_point now);
    void set_cold_start_profiles(std::map<std::string, cold_start_profile> by_service) {
        m_traits = std::move(by_service);
    }

    // Null when the server is not known.
    server_handle find(const std::string& id) const;
    // Servers of a service that may receive requests at all, cold ones included.
    std::vector<server_handle> candidates(const std::string& service) const;
    bool is_usable(const server_state& server) const;
    bool is_cold(const server_state& server, base::time_point now) const { return now < server.cold_until; }

    // Whether this gateway's share of a cold server's allowance permits one more request now; counts it.
    bool take_cold_send(server_state& server, base::time_point now);
    bool cold_send_left(server_state& server, base::time_point now);

    // Events of requests.
    void record_request_start(server_state& server) { ++server.own_in_flight; }
    void record_request_end(server_state& server) {
        server.own_in_flight -= server.own_in_flight > 0 ? 1U : 0U;
    }
    void record_load_report(server_state& server, const load_report& report, base::time_point now);
    void record_answer(server_state& server, bool good, base::time_point now);
    // The request ended without an answer, or no connection could be opened.
    void record_no_answer(server_state& server, base::time_point now);
    void make_suspect(server_state& server, base::time_point now);
    void mark_address_reassigned(server_state& server);

    // Suspect servers whose probe is due; each is marked as being probed until record_probe_result() is
    // called.
    std::vector<server_handle> begin_due_probes(base::time_point now);
    void record_probe_result(server_state& server, health_check_result verdict, base::duration cold_left,
                             base::time_point now);

    gateway_map& gateways() { return m_gateways; }
    const gateway_map& gateways() const { return m_gateways; }
    const locality& own_locality() const { return m_own; }
    std::size_t size() const { return m_servers.size(); }

private:
    std::size_t cold_allowance(server_state& server, base::time_point now);
    void become_cold(server_state& server, base::duration cold_left, base::time_point now);
    base::duration cold_start_of(const std::string& service) const;

    locality m_own;
    gateway_map m_gateways;
    cold_limits m_cold;
    std::map<std::string, cold_start_profile> m_traits; // by service
    std::unordered_map<std::string, server_handle> m_servers;
    std::unordered_map<std::string, std::vector<server_handle>> m_by_service;
    std::set<std::string> m_evacuated; // failure domains
};

} // namespace carawayway::placement

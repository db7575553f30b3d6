// All backend servers that a gateway knows, and the rules for when a server may receive requests.
#pragma once

#include "carawayway/placement/gateway_map.hpp"
#include "carawayway/placement/request_rate_limits.hpp"
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

// Limits the requests per second that a cold server receives from all gateways together.
struct cold_limits {
    double rate_factor = 1.0;               // multiplies the rate that a cold server tolerates
    double extra_requests_per_second = 0.0; // added to the product

    bool operator==(const cold_limits&) const = default;
};

// How the servers of a service behave after a start.
struct cold_start_profile {
    double requests_per_second = 0.0; // rate that a cold server tolerates
    base::duration duration{};        // for which a server is cold

    bool operator==(const cold_start_profile&) const = default;
};

enum class health_check_result : std::uint8_t { healthy, unhealthy, other_server, no_answer };

class server_table {
public:
    // Part of the allowance for a cold server that is used, since the requests of different gateways are not
    // synchronised.
    static constexpr double usable_cold_share = 0.7;
    // Minimum rate of each sender to a cold server; limits the number of gateways among which the allowance
    // is divided.
    static constexpr double minimum_sender_requests_per_second = 3.0;
    // For this long after the store has first listed it, a gateway sends nothing to cold servers: it does not
    // know what the process before it has sent within the last second, nor all gateways among which the
    // allowance is divided.
    static constexpr base::duration cold_hold_after_registration = std::chrono::seconds{2};
    // Time between probes of a suspect server, which doubles after each failure up to the maximum.
    static constexpr base::duration initial_probe_interval = std::chrono::milliseconds{500};
    static constexpr base::duration maximum_probe_interval = std::chrono::seconds{2};
    // Number of requests in a row without any answer after which a server is suspect.
    static constexpr std::uint32_t unanswered_until_suspect = 2;

    server_table(locality own, cold_limits cold)
        : m_own_locality(std::move(own)), m_gateways(m_own_locality), m_rate_limits(m_own_locality.gateway),
          m_cold_limits(cold) {}

    // Adds a server or updates its registration. A new incarnation starts with a new state.
    void put(const fleet::server_registration& registration, base::time_point now);
    // Removes a server at once, for a registration that was deleted while the store was healthy.
    void erase(const std::string& id);
    // Records that a registration disappeared while the store was unstable; the server stays in use until
    // erase_missing() is called.
    void mark_missing(const std::string& id);
    // Erases the servers that are still missing and returns their IDs.
    std::vector<std::string> erase_missing();

    void set_evacuated(const std::string& domain, bool evacuated, base::time_point now);
    void set_cold_start_profiles(std::map<std::string, cold_start_profile> profiles_by_service) {
        m_cold_start_profiles = std::move(profiles_by_service);
    }

    // Null when the server is not known.
    server_handle find(const std::string& id) const;
    // Usable servers of a service, including cold ones.
    std::vector<server_handle> candidates(const std::string& service) const;
    bool is_usable(const server_state& server) const;
    bool is_cold(const server_state& server, base::time_point now) const { return now < server.cold_until; }

    // Whether the server has asked for rest that has not ended. After it, the server gets one request at a
    // time until a good answer shows that it takes requests again.
    static bool is_resting(const server_state& server, base::time_point now) {
        return now < server.rests_until || (server.has_rested && server.own_in_flight > 0);
    }
    // Whether a request that was meant for the server may still be sent to it.
    bool may_send(const server_state& server, base::time_point now) const {
        return now >= server.rests_until && is_usable(server);
    }

    // Counts one more request to a cold server if this gateway's part of the allowance permits it now.
    bool try_acquire_cold_send(server_state& server, base::time_point now);
    bool has_cold_allowance(server_state& server, base::time_point now);

    void record_request_start(server_state& server) { ++server.own_in_flight; }
    void record_request_end(server_state& server) {
        server.own_in_flight -= server.own_in_flight > 0 ? 1U : 0U;
    }
    // Records that the server wants no requests of this gateway for this long.
    void record_rest(server_state& server, base::duration rest, base::time_point now);
    // Records that the server has said it is leaving. Returns whether that was not known.
    bool record_leaving(server_state& server);
    void record_load_report(server_state& server, const load_report& report, base::time_point now);
    void record_answer(server_state& server, bool good, base::time_point now);
    // Records a request that ended without an answer, or whose connection could not be opened.
    void record_no_answer(server_state& server, base::time_point now);
    void make_suspect(server_state& server, base::time_point now);
    void mark_address_reassigned(server_state& server);
    // Makes servers usable again that have become suspect since `from`, because the cause was not theirs.
    void restore_suspects(base::time_point from);
    // The servers that may accept connections, the most likely first: the one of each failure domain that
    // answered last, then all others by the time of their last answer.
    std::vector<server_handle> by_reachability() const;

    // Returns the suspect servers whose probe is due, and marks each as being probed until
    // record_probe_result().
    std::vector<server_handle> begin_due_probes(base::time_point now);
    void record_probe_result(server_state& server, health_check_result result, base::duration cold_left,
                             base::time_point now);

    gateway_map& gateways() { return m_gateways; }
    const gateway_map& gateways() const { return m_gateways; }
    request_rate_limits& rate_limits() { return m_rate_limits; }
    const locality& own_locality() const { return m_own_locality; }
    std::size_t size() const { return m_servers.size(); }

private:
    // Requests that this gateway may send to a cold server within a second.
    std::size_t cold_allowance(server_state& server, base::time_point now);
    void mark_cold(server_state& server, base::duration cold_left, base::time_point now);
    base::duration cold_start_duration(const std::string& service) const;

    locality m_own_locality;
    gateway_map m_gateways;
    request_rate_limits m_rate_limits;
    cold_limits m_cold_limits;
    std::map<std::string, cold_start_profile> m_cold_start_profiles; // by service
    std::unordered_map<std::string, server_handle> m_servers;
    std::unordered_map<std::string, std::vector<server_handle>> m_by_service;
    std::set<std::string> m_evacuated_domains;
};

} // namespace carawayway::placement

// Sends one request through other gateways, while this one is partitioned from the backend servers.
#pragma once

#include "carawayway/base/log.hpp"
#include "carawayway/gateway/connect_timeout.hpp"
#include "carawayway/gateway/gateway_state.hpp"
#include "carawayway/gateway/relay_headers.hpp"
#include "carawayway/gateway/server_attempt.hpp"
#include "carawayway/gateway/server_exchange.hpp"
#include "carawayway/net/endpoint.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace carawayway::gateway {

// The sending side of one relayed request. The receiver works out deadline and target latency from the
// elapsed time, and the header of the caller with its time left stays as it is.
struct peer_call {
    relayed_call call;            // without the elapsed time
    std::string key;              // of the receiver
    base::time_point arrived{};   // of the request, from its caller
    base::duration travel_time{}; // to the receiver, as expected

    static bool may_send(base::time_point /*now*/) { return true; }
    void write(http::fields& headers, const std::string& /*peer*/, base::time_point now) const {
        auto complete = call;
        complete.elapsed = now - arrived + travel_time;
        write_relayed_call(headers, complete, key);
    }
};

// A request as it is relayed; the first gateway keeps it until it has a response for its caller.
struct relay_order {
    std::shared_ptr<const http_request> request;
    std::string request_id;
    base::time_point arrived{};
    base::time_point deadline{};
    routing::request_semantics semantics = routing::request_semantics::non_idempotent;
    routing::region_restriction regions;
    relayed_call call; // without the elapsed time
};

enum class relay_outcome : std::uint8_t {
    answered,
    refused, // no gateway has taken the request, so that it was not executed
    lost,    // a gateway had the request, and may have sent it to a server
};

struct relay_result {
    relay_outcome outcome = relay_outcome::refused;
    http_response response; // when answered
    relay_verdict verdict;  // when answered
};

template <platform_protocol Platform>
class request_relay : public std::enable_shared_from_this<request_relay<Platform>> {
public:
    // Gateways to which one request is sent until one takes it.
    static constexpr std::size_t maximum_peers = 3;

    using completion_handler = std::function<void(relay_result)>;

    request_relay(gateway_state& state, relay_order order, completion_handler done)
        : m_state(state), m_order(std::move(order)), m_done(std::move(done)) {}

    // Sends the request to the first gateway. Returns whether there is one; `done` runs only then, and after
    // this call has returned.
    bool start() { return send_to_next_peer(); }

    // Closes the connection, by which the other gateway learns that nobody waits for the response.
    void abort() {
        m_done = nullptr;
        if (m_exchange) {
            m_exchange->abort();
            end_exchange();
        }
    }

    // Leaves the request with the gateway that has it. If that one refuses, no other one is asked.
    void stop_trying() { m_tries_others = false; }

    // Whether a gateway may have the request.
    bool was_sent() const { return m_exchange && m_exchange->was_sent(); }

private:
    using exchange = server_exchange<Platform, peer_call>;

    bool send_to_next_peer() {
        const auto now = base::monotonic_now();
        while (m_tried_peers.size() < maximum_peers && now < m_order.deadline) {
            const auto peer = m_state.peers.choose(m_tried_peers, m_order.regions, now);
            if (!peer) {
                return false;
            }
            m_tried_peers.push_back(peer->name);
            if (const auto address = net::parse_endpoint(peer->relay_address)) {
                send_to(*peer, *address, now);
                return true;
            }
            m_state.peers.record_refusal(peer->name, now);
        }
        return false;
    }

    void send_to(const fleet::gateway_registration& peer, const boost::asio::ip::tcp::endpoint& address,
                 base::time_point now) {
        const bool is_own_region = peer.region == m_state.servers.own_locality().region;
        const auto round_trip = m_state.round_trips.expected(peer.failure_domain, is_own_region);
        const exchange_limits limits{
            std::min<base::duration>(m_order.deadline - now, connect_timeout(round_trip)),
            maximum_idle_time(m_order.semantics, {}), gateway_state::maximum_response_bytes};
        m_exchange = std::make_shared<exchange>(
            m_state.executor, m_state.peer_connections, m_state.messages, peer.name, address, limits,
            peer_call{m_order.call, peer.relay_key, m_order.arrived, round_trip / 2});
        m_order.call.earns_retries = false; // only the first receiver counts the request
        m_state.peers.record_start(peer.name);
        m_exchange->start(m_order.request, m_order.request_id,
                          [self = this->shared_from_this()](exchange_result result) {
                              self->finish_exchange(std::move(result));
                          });
    }

    void end_exchange() {
        m_state.peers.record_end(m_tried_peers.back());
        m_exchange.reset();
    }

    void finish_exchange(exchange_result result) {
        const auto now = base::monotonic_now();
        const auto peer = m_tried_peers.back();
        end_exchange();
        const bool is_answered = result.outcome == exchange_outcome::answered;
        const auto verdict = is_answered ? read_relay_verdict(result.response) : relay_verdict{};
        const bool has_refused =
            result.outcome == exchange_outcome::not_connected || is_refusal(verdict.failure);
        const bool has_lost = verdict.failure == base::error_kind::peer_lost; // as the other gateway stopped
        count(has_refused ? "refused" : is_answered && !has_lost ? "answered" : "lost");
        if (is_answered && !has_refused && !has_lost) {
            remove_relay_headers(result.response);
            complete({relay_outcome::answered, std::move(result.response), verdict});
            return;
        }
        m_state.peers.record_refusal(peer, now);
        log_failure(peer, verdict, result.outcome, now);
        if (!has_refused) {
            complete({relay_outcome::lost, {}, {}});
        } else if (!m_tries_others || !send_to_next_peer()) {
            complete({relay_outcome::refused, {}, {}});
        }
    }

    // Whether the gateway has not taken the request, and another one may.
    static bool is_refusal(std::optional<base::error_kind> failure) {
        return failure == base::error_kind::peer_refused || failure == base::error_kind::not_ready ||
               failure == base::error_kind::unauthorized;
    }

    void complete(relay_result result) {
        if (m_done) {
            const auto done = std::move(m_done);
            m_done = nullptr;
            done(std::move(result));
        }
    }

    void count(std::string_view end) {
        m_state.metrics.add("carawayway_gateway_relays_total", {{"end", std::string(end)}});
    }

    void log_failure(const std::string& peer, const relay_verdict& verdict, exchange_outcome outcome,
                     base::time_point now) {
        const auto kind = verdict.failure ? base::properties_of(*verdict.failure).name : "";
        m_state.log.write(base::log_level::info, "relay-failed",
                          {{"request_id", m_order.request_id},
                           {"gateway", peer},
                           {"connected", outcome != exchange_outcome::not_connected},
                           {"kind", kind}},
                          now);
    }

    gateway_state& m_state;
    relay_order m_order;
    completion_handler m_done;              // null after it ran, or when aborted
    std::shared_ptr<exchange> m_exchange;   // null while none is running
    std::vector<std::string> m_tried_peers; // names
    bool m_tries_others = true;
};

} // namespace carawayway::gateway

// One request of a caller on its way: finds the route, places it, repeats it where that is allowed, and
// answers.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/base/hash.hpp"
#include "carawayway/gateway/caller_session.hpp"
#include "carawayway/gateway/error_response.hpp"
#include "carawayway/gateway/gateway_state.hpp"
#include "carawayway/gateway/server_exchange.hpp"
#include "carawayway/net/endpoint.hpp"
#include "carawayway/placement/overdue_time.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace carawayway::gateway {

template <platform_protocol Platform>
class relayed_call : public std::enable_shared_from_this<relayed_call<Platform>> {
public:
    // Servers that are tried without being reached, besides the attempts of the route.
    static constexpr std::uint32_t tolerated_connect_failures = 3;
    static constexpr base::duration shortest_connect_timeout = std::chrono::milliseconds{150};
    // Connect time-out in round trips: one retransmitted packet still arrives within it.
    static constexpr int connect_round_trips = 4;
    // A server may forget idle connections; a request that must not be repeated takes one that was used just
    // now.
    static constexpr base::duration idle_for_unrepeatable = std::chrono::seconds{3};
    static constexpr base::duration idle_for_repeatable = std::chrono::seconds{60};
    // Load, as a part of the slots, from which a refusal counts as that of a full server.
    static constexpr double full_share = 1.5;
    // Advice to callers while this gateway has no configuration.
    static constexpr base::duration not_ready_retry_after = std::chrono::milliseconds{300};

    relayed_call(relay_state& state, http_request request, base::time_point arrived, answer_function answer)
        : m_state(state), m_request(std::move(request)), m_arrived(arrived), m_answer(std::move(answer)),
          m_deadline(state.executor), m_hedge(state.executor) {}

    void start() {
        m_marks = Platform::read_call(m_request);
        m_routes = m_state.routes();
        if (!m_routes) {
            refuse_later(base::error_kind::not_ready, not_ready_retry_after);
            return;
        }
        const std::string_view target = m_request.target();
        if (target.empty() || target.front() != '/' || m_request.count(http::field::host) != 1) {
            refuse_later(base::error_kind::request_invalid, {});
            return;
        }
        m_route = m_routes->find(m_request[http::field::host], routing::path_of(target));
        if (m_route == nullptr) {
            refuse_later(base::error_kind::not_found, {});
            return;
        }
        const auto allowed = std::min(m_marks.time_left.value_or(m_route->timeout), m_route->timeout);
        m_ends_at = m_arrived + allowed;
        m_waited_before = m_marks.time_left ? m_state.waited_before(m_route->name, *m_marks.time_left)
                                            : base::duration::zero();
        const std::uint64_t key =
            base::hash_bytes(m_marks.object.empty() ? m_marks.request_id : m_marks.object);
        m_service = m_route->targets[m_state.splits.choose(*m_route, key)].service;
        m_object = base::hash_bytes(m_service, key);
        m_state.retry_budget_of(m_service, m_arrived).record_first_attempt(m_arrived);
        prepare_request();
        arm_deadline();
        place();
    }

    // The caller has left. A request that may be repeated stops at its server; another one runs to its end,
    // since a half-run booking helps nobody.
    void cancel() {
        m_answer = nullptr;
        m_caller_left = true;
        m_hedge.cancel();
        if (is_repeatable() || !any_sent()) {
            abort_attempts();
            m_deadline.cancel();
        }
    }

private:
    bool is_repeatable() const {
        return m_route != nullptr && m_route->semantics == routing::request_semantics::idempotent;
    }

    void prepare_request() {
        remove_connection_headers(m_request);
        m_request.version(11);
        m_request.keep_alive(true);
        m_request.prepare_payload();
    }

    void arm_deadline() {
        m_deadline.expires_at(std::chrono::time_point_cast<boost::asio::steady_timer::duration>(m_ends_at));
        m_deadline.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
            const auto self = weak.lock();
            if (!error && self) {
                self->out_of_time();
            }
        });
    }

    void place() {
        const auto now = base::monotonic_now();
        const placement::placement_request wanted{*m_route,
                                                  m_service,
                                                  m_object,
                                                  m_ends_at - now,
                                                  m_arrived + m_route->target_latency - m_waited_before - now,
                                                  m_tried,
                                                  !m_marks.object.empty()};
        const auto placed = m_state.choice.choose(wanted, now);
        if (!placed.server) {
            give_up(placed, now);
            return;
        }
        send_to(placed, now);
    }

    placement::placement_request wanted_placement(base::time_point now) const {
        return {*m_route,
                m_service,
                m_object,
                m_ends_at - now,
                m_arrived + m_route->target_latency - m_waited_before - now,
                m_tried,
                !m_marks.object.empty()};
    }

    // One send to one server.
    struct attempt {
        placement::server_handle server;
        placement::object_cache_state warmth = placement::object_cache_state::not_cached;
        base::duration expected{}; // until the answer, when the server was chosen
        base::time_point chosen_at{};
        std::shared_ptr<server_exchange<Platform>> exchange;
    };
    using attempt_handle = std::shared_ptr<attempt>;

    void send_to(const placement::placement_result& placed, base::time_point now) {
        m_tried.push_back(placed.server->registration.id);
        const auto address = net::parse_endpoint(placed.server->registration.address);
        if (!address) {
            m_state.servers.mark_address_reassigned(*placed.server);
            place();
            return;
        }
        auto sent = std::make_shared<attempt>();
        sent->server = placed.server;
        sent->warmth = placed.cache_state;
        sent->expected = placed.expected_latency;
        sent->chosen_at = now;
        const auto& server = *sent->server;
        m_state.servers.record_request_start(*sent->server);
        const exchange_limits limits{
            std::min<base::duration>(
                m_ends_at - now,
                std::max<base::duration>(shortest_connect_timeout, trip_to(server) * connect_round_trips)),
            is_repeatable() ? idle_for_repeatable : idle_for_unrepeatable, relay_state::largest_answer};
        auto request = std::make_shared<http_request>(m_request);
        Platform::write_call(*request, server.registration.id, m_ends_at - now);
        sent->exchange = std::make_shared<server_exchange<Platform>>(
            m_state.executor, m_state.connections, server.registration.id, *address, limits);
        m_running.push_back(sent);
        sent->exchange->start(std::move(request), m_marks.request_id,
                              [self = this->shared_from_this(), sent](exchange_result result) {
                                  self->exchanged(sent, std::move(result));
                              });
        if (is_repeatable() && m_running.size() == 1) {
            arm_hedge(sent);
        }
    }

    base::duration trip_to(const placement::server_state& server) const {
        return m_state.trips.expected(server.registration.failure_domain,
                                      server.region == m_state.servers.own_locality().region);
    }

    bool any_sent() const {
        return std::any_of(m_running.begin(), m_running.end(),
                           [](const attempt_handle& item) { return item->exchange->was_sent(); });
    }

    void abort_attempts() {
        for (const auto& item : m_running) {
            item->exchange->abort();
            m_state.servers.record_request_end(*item->server);
        }
        m_running.clear();
    }

    // A request that may be repeated goes to a second server once its answer is overdue: the first server may
    // have lost the request or its answer, or be slow. The first answer of two servers counts.
    void arm_hedge(const attempt_handle& first) {
        m_hedge.expires_after(placement::overdue_after(first->expected));
        m_hedge.async_wait([weak = this->weak_from_this(), first](boost::system::error_code error) {
            const auto self = weak.lock();
            if (!error && self) {
                self->hedge(first);
            }
        });
    }

    void hedge(const attempt_handle& first) {
        const auto now = base::monotonic_now();
        if (m_running.size() != 1 || m_attempts + 1 >= m_route->maximum_attempts) {
            return;
        }
        // Where requests wait, the answer is late for a known reason, and more work would make it later.
        if (m_state.choice.expected_wait(*first->server, now) > base::duration::zero()) {
            arm_hedge(first);
            return;
        }
        const auto placed = m_state.choice.choose(wanted_placement(now), now);
        const bool prompt =
            placed.server && m_state.choice.expected_wait(*placed.server, now) <= base::duration::zero();
        if (!prompt || !spend_budget(now)) {
            return;
        }
        ++m_attempts; // the first one counts although it has not ended
        send_to(placed, now);
    }

    void exchanged(const attempt_handle& sent, exchange_result result) {
        const auto now = base::monotonic_now();
        std::erase(m_running, sent);
        m_state.servers.record_request_end(*sent->server);
        if (result.connect_time > base::duration::zero()) {
            m_state.trips.observe(sent->server->registration.failure_domain, result.connect_time);
        }
        if (result.end == exchange_end::answered) {
            answered(*sent, std::move(result), now);
            return;
        }
        count_attempt(result.end == exchange_end::not_connected ? "not-connected" : "lost");
        m_state.servers.record_no_answer(*sent->server, now);
        if (result.end != exchange_end::not_connected) {
            ++m_attempts;
            m_may_have_run = true;
        }
        if (!m_running.empty()) {
            return; // the other server may still answer
        }
        if (result.end == exchange_end::not_connected) {
            if (++m_connect_failures <= tolerated_connect_failures) {
                place();
                return;
            }
            finish_failed(base::error_kind::no_server_available, now);
            return;
        }
        if (may_repeat(now)) {
            place();
            return;
        }
        finish_failed(result.end == exchange_end::broken ? base::error_kind::answer_truncated
                                                         : base::error_kind::server_lost,
                      now);
    }

    void answered(const attempt& sent, exchange_result result, base::time_point now) {
        ++m_attempts;
        auto& server = *sent.server;
        const unsigned status = result.answer.result_int();
        const bool success = status >= 200 && status < 300;
        const bool intact = !success || (result.marks.has_signature && !result.marks.has_content_encoding);
        const bool good = !result.marks.not_executed && status < 500 && intact;
        if (result.marks.load) {
            m_state.servers.record_load_report(server, *result.marks.load, now);
            m_state.spill.record_load(m_service, server.region, result.marks.load->utilization(), now);
        }
        // A full server refuses for a good reason; one that refuses with free slots is failing.
        const bool full =
            result.marks.not_executed && result.marks.load && result.marks.load->utilization() > full_share;
        m_state.servers.record_answer(server, good || full, now);
        count_attempt(result.marks.not_executed ? "refused" : good ? "good" : "failed");
        if (result.marks.other_server) {
            m_state.servers.mark_address_reassigned(server);
        }
        if (good) {
            learn(sent, result, now);
            deliver(std::move(result.answer), now);
            return;
        }
        if (!result.marks.not_executed) {
            m_may_have_run = true;
            if (intact) {
                m_failed_answer = std::move(result.answer);
            }
        }
        if (!m_running.empty()) {
            return; // the other server may still answer
        }
        const bool repeats = result.marks.not_executed
                                 ? m_attempts < m_route->maximum_attempts && spend_budget(now)
                                 : may_repeat(now);
        if (repeats) {
            place();
            return;
        }
        finish_failed(result.marks.not_executed ? base::error_kind::server_refused
                                                : base::error_kind::answer_truncated,
                      now);
    }

    void learn(const attempt& sent, const exchange_result& result, base::time_point now) {
        auto& server = *sent.server;
        const bool queued = result.marks.load && result.marks.load->waiting > 0;
        m_state.affinity.record(m_object, server.id_hash);
        if (base::is_logged(base::log_level::debug)) {
            base::log(
                base::log_level::debug, "request-served",
                {{"request_id", m_marks.request_id},
                 {"route", m_route->name},
                 {"service", m_service},
                 {"object", m_marks.object},
                 {"server", server.registration.id},
                 {"domain", server.registration.failure_domain},
                 {"held", sent.warmth == placement::object_cache_state::cached},
                 {"run_ms", base::to_milliseconds(result.run_time)},
                 {"load", result.marks.load ? result.marks.load->running + result.marks.load->waiting : 0},
                 {"expected_ms", base::to_milliseconds(sent.expected)}});
        }
        if (queued || m_state.servers.is_cold(server, now)) {
            return;
        }
        const auto run_time = result.run_time - std::min(result.run_time, trip_to(server));
        m_state.choice.observe(server, m_route->name, m_service, sent.warmth, run_time, now);
    }

    // Whether a request that may have run can be sent to another server.
    bool may_repeat(base::time_point now) {
        return is_repeatable() && m_attempts < m_route->maximum_attempts && spend_budget(now);
    }

    bool spend_budget(base::time_point now) {
        return !m_caller_left && m_state.retry_budget_of(m_service, now).try_spend(now);
    }

    void give_up(const placement::placement_result& placed, base::time_point now) {
        m_retry_after = placed.retry_after;
        switch (placed.reason) {
        case placement::refusal::overload:
            finish_failed(base::error_kind::overloaded, now);
            return;
        case placement::refusal::too_late:
            finish_failed(base::error_kind::deadline_unreachable, now);
            return;
        default:
            finish_failed(base::error_kind::no_server_available, now);
            return;
        }
    }

    // Nothing more can be tried: passes on what a server answered, or says what is known.
    void finish_failed(base::error_kind kind, base::time_point now) {
        if (m_failed_answer) {
            deliver(std::move(*m_failed_answer), now);
            return;
        }
        const bool claims_not_run = base::answer_for(kind).execution == base::execution_state::not_executed;
        finish(claims_not_run && m_may_have_run ? base::error_kind::server_lost : kind, m_retry_after, now);
    }

    void out_of_time() {
        const auto now = base::monotonic_now();
        const bool may_have_run = m_may_have_run || any_sent();
        for (const auto& item : m_running) {
            // A first run may take longer than the route allows; that says nothing against the server.
            const bool overdue = now - item->chosen_at > placement::overdue_after(item->expected);
            if (overdue && item->exchange->was_sent()) {
                m_state.servers.record_no_answer(*item->server, now);
            }
        }
        abort_attempts();
        finish(may_have_run ? base::error_kind::deadline_exceeded
                            : base::error_kind::deadline_exceeded_before_dispatch,
               m_retry_after, now);
    }

    void refuse_later(base::error_kind kind, base::duration retry_after) {
        boost::asio::post(m_state.executor, [self = this->shared_from_this(), kind, retry_after] {
            self->finish(kind, retry_after, base::monotonic_now());
        });
    }

    void finish(base::error_kind kind, base::duration retry_after, base::time_point now) {
        m_deadline.cancel();
        m_hedge.cancel();
        if (!m_answer) {
            return;
        }
        const auto& row = base::answer_for(kind);
        m_state.metrics.add("carawayway_gateway_refusals_total",
                            {{"service", m_service}, {"kind", std::string(row.name)}});
        m_state.log.write(base::log_level::info, "request-given-up",
                          {{"request_id", m_marks.request_id},
                           {"kind", row.name},
                           {"route", m_route == nullptr ? std::string{} : m_route->name},
                           {"configuration", m_routes ? m_routes->source().version : 0},
                           {"attempts", m_attempts},
                           {"server", m_tried.empty() ? std::string{} : m_tried.back()},
                           {"after_ms", base::to_milliseconds(now - m_arrived)},
                           {"retry_after_ms", base::to_milliseconds(retry_after)}},
                          now);
        auto answer = refusal_answer(row, m_may_have_run ? base::duration::zero() : retry_after);
        Platform::write_request_id(answer, m_marks.request_id);
        complete(std::move(answer), now);
    }

    void deliver(http_response answer, base::time_point now) {
        m_deadline.cancel();
        m_hedge.cancel();
        abort_attempts();
        if (m_tried.size() > 1) {
            m_state.log.write(base::log_level::info, "request-repeated",
                              {{"request_id", m_marks.request_id},
                               {"status", answer.result_int()},
                               {"attempts", m_attempts},
                               {"first_server", m_tried.front()},
                               {"server", m_tried.back()},
                               {"after_ms", base::to_milliseconds(now - m_arrived)}},
                              now);
        }
        remove_connection_headers(answer);
        complete(std::move(answer), now);
    }

    void complete(http_response answer, base::time_point now) {
        const std::string priority = m_route == nullptr ? "none" : std::to_string(m_route->priority);
        m_state.metrics.add("carawayway_gateway_requests_total",
                            {{"priority", priority},
                             {"service", m_service},
                             {"status", std::to_string(answer.result_int())}});
        m_state.metrics.observe("carawayway_gateway_request_duration_seconds",
                                {{"priority", priority}, {"service", m_service}}, now - m_arrived);
        if (!m_answer) {
            return;
        }
        const auto deliver_answer = std::move(m_answer);
        m_answer = nullptr;
        deliver_answer(std::move(answer));
    }

    void count_attempt(std::string_view end) {
        m_state.metrics.add("carawayway_gateway_attempts_total",
                            {{"end", std::string(end)}, {"service", m_service}});
    }

    relay_state& m_state;
    http_request m_request;
    base::time_point m_arrived;
    answer_function m_answer; // null once answered or when the caller has left
    boost::asio::steady_timer m_deadline;
    boost::asio::steady_timer m_hedge;
    request_metadata m_marks;
    std::shared_ptr<const routing::route_table> m_routes; // keeps m_route alive across new configurations
    const routing::route* m_route = nullptr;
    std::string m_service;
    std::uint64_t m_object = 0;
    base::time_point m_ends_at{};
    base::duration m_waited_before{};             // of the caller, over earlier attempts
    std::vector<attempt_handle> m_running;        // at most two
    std::optional<http_response> m_failed_answer; // of a server, passed on when nothing better comes
    base::duration m_retry_after = placement::server_selector::minimum_retry_after;
    std::vector<std::string> m_tried; // IDs of servers
    std::uint32_t m_attempts = 0;     // that reached a server
    std::uint32_t m_connect_failures = 0;
    bool m_may_have_run = false;
    bool m_caller_left = false;
};

} // namespace carawayway::gateway

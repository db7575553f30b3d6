// Forwards one request of a caller: finds the route, chooses a server, retries or hedges where allowed, and
// sends the response.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/base/hash.hpp"
#include "carawayway/gateway/caller_session.hpp"
#include "carawayway/gateway/content_fingerprint.hpp"
#include "carawayway/gateway/error_response.hpp"
#include "carawayway/gateway/gateway_state.hpp"
#include "carawayway/gateway/pause_aware_timer.hpp"
#include "carawayway/gateway/request_content.hpp"
#include "carawayway/gateway/request_log.hpp"
#include "carawayway/gateway/request_relay.hpp"
#include "carawayway/gateway/server_attempt.hpp"
#include "carawayway/gateway/server_liveness.hpp"
#include "carawayway/net/endpoint.hpp"
#include "carawayway/placement/overdue_time.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace carawayway::gateway {

template <platform_protocol Platform>
class forwarded_request : public std::enable_shared_from_this<forwarded_request<Platform>> {
public:
    // Failed connects that are retried on another server, in addition to the attempts that the route allows.
    static constexpr std::uint32_t maximum_connect_failures = 3;
    // Load relative to the slots above which a refusal is attributed to overload and not to a failing server.
    static constexpr double full_server_load = 1.5;
    // For the claim of a trial. The store may be slow; a later request then makes the trial.
    static constexpr base::duration longest_wait_for_trial = std::chrono::milliseconds{400};
    // From the arrival of a request until its quota is used up, although it has not run.
    static constexpr base::duration longest_refund_time = std::chrono::milliseconds{500};
    // Sent to callers while this gateway has no configuration.
    static constexpr base::duration not_ready_retry_after = std::chrono::milliseconds{300};

    // `relayed` comes with a request that another gateway got from its caller. `place` counts the request
    // among those in progress, also after its caller has left.
    forwarded_request(gateway_state& state, http_request request, base::time_point arrived,
                      response_callback respond, std::shared_ptr<void> place,
                      std::optional<relayed_call> relayed = std::nullopt)
        : m_state(state), m_request(std::make_shared<http_request>(std::move(request))),
          m_arrived(arrived - (relayed ? relayed->elapsed : base::duration::zero())),
          m_respond(std::move(respond)), m_place(std::move(place)), m_relayed(relayed),
          m_deadline_timer(state.executor), m_hedge_timer(state.executor),
          m_attempt_count(relayed ? relayed->attempts : 0), m_is_counted(relayed && !relayed->earns_retries),
          m_is_relay_refused(relayed.has_value()) {}

    void start() {
        m_metadata = Platform::read_call(*m_request);
        m_routes = m_state.routes();
        m_accounts = m_state.accounts();
        if (!m_routes) {
            post_error_response(base::error_kind::not_ready, not_ready_retry_after);
            return;
        }
        // One hop at most. The caller may have seen the effect of the configuration of its own gateway.
        if (m_relayed &&
            (m_state.contact.is_lost() || m_routes->source().version < m_relayed->configuration)) {
            post_error_response(base::error_kind::peer_refused, {});
            return;
        }
        const std::string_view target = m_request->target();
        if (target.empty() || target.front() != '/' || m_request->count(http::field::host) != 1) {
            post_error_response(base::error_kind::request_invalid, {});
            return;
        }
        m_route = m_routes->find((*m_request)[http::field::host], routing::path_of(target));
        if (m_route == nullptr) {
            post_error_response(base::error_kind::not_found, {});
            return;
        }
        if (!identify_account()) {
            post_error_response(
                m_relayed ? base::error_kind::peer_refused : base::error_kind::api_key_unknown, {});
            return;
        }
        const auto allowed = std::min(m_metadata.time_left.value_or(m_route->timeout), m_route->timeout);
        m_deadline = m_arrived + allowed;
        if (m_state.stop && !m_state.stop->takes(base::monotonic_now(), m_deadline)) {
            post_error_response(base::error_kind::stopping, m_retry_after);
            return;
        }
        m_time_spent_in_earlier_attempts =
            m_metadata.time_left
                ? m_state.time_spent_in_earlier_attempts(m_route->name, *m_metadata.time_left)
                : base::duration::zero();
        const std::uint64_t key =
            base::hash_bytes(m_metadata.object.empty() ? m_metadata.request_id : m_metadata.object);
        m_service = m_route->targets[m_state.splitter.choose(*m_route, key)].service;
        m_object_hash = base::hash_bytes(m_service, key);
        prepare_request();
        if (m_deadline <= base::monotonic_now()) { // read long after it had arrived
            post_error_response(base::error_kind::deadline_exceeded_before_dispatch, m_retry_after);
            return;
        }
        if (!admit_by_quota()) {
            return;
        }
        m_deadline_timer.start(m_deadline, this->weak_from_this(),
                               [](forwarded_request& self) { self.handle_deadline(); });
        send_to_next_server();
    }

    // Called when the caller disconnects. Aborts an idempotent request and one that was not sent yet. Any
    // other request runs to completion, so that it is not left half executed.
    void cancel() {
        m_respond = nullptr;
        m_caller_disconnected = true;
        m_hedge_timer.cancel();
        if (!any_attempt_sent()) {
            refund_quota();
        }
        if (is_idempotent() || !any_attempt_sent()) {
            m_content.share_losses(base::monotonic_now());
            abandon_attempts();
            m_deadline_timer.cancel();
        } else if (m_relay) {
            m_relay->stop_trying();
        }
    }

    // Called when this process ends. Responds at once.
    void expire() {
        m_may_have_executed = m_may_have_executed || any_attempt_sent();
        abandon_attempts();
        const auto lost = m_relayed ? base::error_kind::peer_lost : base::error_kind::deadline_exceeded;
        respond_with_failure(m_may_have_executed ? lost : base::error_kind::stopping, base::monotonic_now());
    }

private:
    // Finds the client account of the caller by its key, which goes no further than this. Returns false if
    // the caller needs a key and has none that is known. Another gateway has checked the key of a request
    // that it relays.
    bool identify_account() {
        if (m_accounts->empty()) {
            m_regions = routing::region_restriction::from_list(m_route->allowed_regions);
            return true;
        }
        const auto key = Platform::take_api_key(*m_request);
        if (m_relayed) {
            m_account = m_accounts->find_by_name(m_relayed->account);
        } else if (key && !m_route->is_public) {
            m_account = m_accounts->find_by_key(*key);
        }
        if (m_account == nullptr && !m_route->is_public) {
            return false;
        }
        m_regions = routing::region_restriction::from_list(m_route->allowed_regions);
        if (m_account != nullptr) {
            m_regions =
                m_regions.restricted_by(routing::region_restriction::from_list(m_account->allowed_regions));
        }
        return true;
    }

    // Returns false after it has rejected a request beyond the quota of its account. A relayed request was
    // counted by the gateway that got it from its caller.
    bool admit_by_quota() {
        if (m_account == nullptr || m_relayed) {
            return true;
        }
        const auto decision = m_state.admit(m_account->name, base::monotonic_now());
        m_is_in_quota = decision.is_admitted;
        if (!decision.is_admitted) {
            const auto longest = (m_deadline - base::monotonic_now()) / 3; // callers wait no longer
            post_error_response(base::error_kind::quota_exceeded, std::min(decision.retry_after, longest));
        }
        return decision.is_admitted;
    }

    std::string account_name() const { return m_account == nullptr ? std::string{} : m_account->name; }

    std::uint32_t priority() const { return m_account == nullptr ? m_route->priority : m_account->priority; }

    // A server that has told a caller of this gateway that it is leaving gets nothing more from it, also
    // after contact has returned. A rest concerns the other gateway alone.
    void record_relayed_notices(const relay_result& result, base::time_point now) {
        const auto server = m_state.servers.find(result.verdict.server);
        if (server) {
            auto answer = Platform::read_answer(result.response.result_int(), result.response);
            answer.asks_for_rest = false;
            answer.rest.reset();
            m_state.record_notices(*server, answer, now);
        }
    }

    // When the response to an attempt is of no use any more.
    base::time_point attempts_end() const {
        return m_state.stop ? std::min(m_deadline, m_state.stop->requests_end) : m_deadline;
    }

    bool is_idempotent() const {
        return m_route != nullptr && m_route->semantics == routing::request_semantics::idempotent;
    }

    void prepare_request() {
        remove_hop_by_hop_headers(*m_request);
        remove_relay_headers(*m_request);
        if (!m_accounts->empty()) {
            Platform::write_account(*m_request, account_name());
        }
        m_request->version(11);
        m_request->keep_alive(true);
        m_request->prepare_payload();
    }

    void send_to_next_server() {
        const auto now = base::monotonic_now();
        if (!m_tested_content && m_content.quarantine_left(now) > base::duration::zero()) {
            if (!begin_trial(now)) {
                refuse_quarantined(now);
            }
            return;
        }
        if (m_state.contact.is_lost() && try_relay()) {
            return;
        }
        count_first_attempt(now);
        const auto placed = m_state.selector.choose(next_placement_request(now), now);
        if (placed.server) {
            if (placed.is_trial) {
                m_state.metrics.add("carawayway_gateway_run_time_trials_total", {{"service", m_service}});
            }
            send_to(placed, now);
        } else if (placed.reason != placement::refusal::no_server || !try_relay()) {
            fail_unplaced(placed, now);
        }
    }

    void refuse_quarantined(base::time_point now) {
        m_retry_after = std::min(m_content.quarantine_left(now), m_content.trial_interval(now));
        respond_with_failure(base::error_kind::request_quarantined, now);
    }

    // Servers may have ended for another reason while they ran this content. One request at a time is sent to
    // find out, through no other gateway and not in a planned stop. Returns whether the request waits for it.
    bool begin_trial(base::time_point now) {
        if (!m_tried_servers.empty() || m_relayed || m_state.stop || m_state.contact.is_lost()) {
            return false;
        }
        const auto subject = m_content.trial_subject(now);
        if (!subject) {
            return false;
        }
        m_waits_for_trial = true;
        const bool is_asked = m_content.begin_trial(
            *subject, now, [self = this->shared_from_this(), subject](trial_permit permit) {
                self->continue_trial(*subject, std::move(permit));
            });
        if (!is_asked) {
            m_waits_for_trial = false;
        }
        if (m_waits_for_trial) {
            m_hedge_timer.start(now + longest_wait_for_trial, this->weak_from_this(),
                                [](forwarded_request& self) {
                                    self.m_waits_for_trial = false;
                                    self.refuse_quarantined(base::monotonic_now());
                                });
        }
        return is_asked;
    }

    // If this request does not wait any more, the permit is left for the next one.
    void continue_trial(const steering::crash_count& subject, trial_permit permit) {
        if (m_is_completed || m_caller_disconnected || !m_waits_for_trial) {
            return;
        }
        m_hedge_timer.cancel();
        m_waits_for_trial = false;
        if (!permit) {
            refuse_quarantined(base::monotonic_now());
            return;
        }
        m_tested_content = subject;
        m_trial_permit = std::move(permit);
        send_to_next_server();
    }

    // Counted once, at the gateway that first sends the request to a server.
    void count_first_attempt(base::time_point now) {
        if (!m_is_counted) {
            m_is_counted = true;
            m_state.retries_of(m_service, now).record_first_attempt(now);
        }
    }

    // Sends the request through another gateway. Returns whether one gets it.
    bool try_relay() {
        if (m_is_relay_refused || m_regions.allows_none()) {
            return false;
        }
        relay_order order{m_request,
                          m_metadata.request_id,
                          m_arrived,
                          attempts_end(),
                          m_route->semantics,
                          m_regions,
                          {{}, m_attempt_count, !m_is_counted, m_routes->source().version, account_name()}};
        m_relay = std::make_shared<request_relay<Platform>>(
            m_state, std::move(order), [self = this->shared_from_this()](relay_result result) {
                self->finish_relay(std::move(result));
            });
        if (!m_relay->start()) {
            m_relay.reset();
            m_is_relay_refused = true;
            return false;
        }
        m_is_counted = true;
        return true;
    }

    void finish_relay(relay_result result) {
        const auto now = base::monotonic_now();
        m_relay.reset();
        if (result.outcome == relay_outcome::refused) {
            m_is_relay_refused = true;
            if (m_caller_disconnected) {
                respond_with_failure(base::error_kind::peer_refused, now);
            } else {
                send_to_next_server();
            }
            return;
        }
        if (result.outcome == relay_outcome::lost) {
            ++m_attempt_count;
            m_may_have_executed = true;
            if (may_retry(retry_cause::lost, now)) {
                send_to_next_server();
                return;
            }
            respond_with_failure(base::error_kind::peer_lost, now);
            return;
        }
        if (!result.verdict.failure) {
            record_relayed_notices(result, now);
            forward_response(std::move(result.response), now);
            return;
        }
        m_may_have_executed = m_may_have_executed || base::properties_of(*result.verdict.failure).execution ==
                                                         base::execution_state::unknown;
        m_retry_after = retry_after_in(result.response).value_or(m_retry_after);
        respond_with_failure(*result.verdict.failure, now);
    }

    placement::placement_request next_placement_request(base::time_point now) const {
        return {*m_route,
                m_service,
                m_object_hash,
                attempts_end() - now,
                m_arrived + m_route->target_latency - m_time_spent_in_earlier_attempts - now,
                m_tried_servers,
                !m_metadata.object.empty(),
                m_regions,
                priority(),
                overload_draw(),
                may_test_run_time()};
    }

    // Not as a resend, whose caller has little time, nor in a planned stop, which could cut a long run.
    bool may_test_run_time() const { return m_tried_servers.empty() && !m_state.stop; }

    // Chooses among requests of the same rank in an overload. A request that was sent to a server or another
    // gateway before does not yield any more, nor one of a service whose requests all have the same priority.
    // A caller that returns has another draw.
    std::optional<double> overload_draw() const {
        if (!m_tried_servers.empty() || m_relayed || !m_routes->has_several_priorities(m_service)) {
            return std::nullopt;
        }
        const auto hash = base::hash_bytes(m_metadata.request_id,
                                           static_cast<std::uint64_t>(m_arrived.time_since_epoch().count()));
        return std::ldexp(static_cast<double>(hash), -std::numeric_limits<std::uint64_t>::digits);
    }

    using attempt = server_attempt<Platform>;
    using attempt_handle = std::shared_ptr<attempt>;

    void send_to(const placement::placement_result& placed, base::time_point now) {
        m_tried_servers.push_back(placed.server->registration.id);
        const auto address = net::parse_endpoint(placed.server->registration.address);
        if (!address) {
            m_state.servers.mark_address_reassigned(*placed.server);
            send_to_next_server();
            return;
        }
        auto sent = std::make_shared<attempt>();
        sent->server = placed.server;
        sent->address = *address;
        sent->losses_when_sent = m_content.known_losses(now);
        sent->cache_state = placed.cache_state;
        sent->expected_latency = placed.expected_latency;
        sent->chosen_at = now;
        const auto& server = *sent->server;
        m_state.servers.record_request_start(*sent->server);
        const exchange_limits limits{
            std::min<base::duration>(attempts_end() - now, connect_timeout(round_trip_to(server))),
            maximum_idle_time(m_route->semantics, sent->losses_when_sent),
            gateway_state::maximum_response_bytes};
        sent->exchange = std::make_shared<server_exchange<Platform>>(
            m_state.executor, m_state.connections, m_state.messages, server.registration.id, *address, limits,
            server_call<Platform>{attempts_end(), m_state.servers, sent->server});
        m_running_attempts.push_back(sent);
        sent->exchange->start(m_request, m_metadata.request_id,
                              [self = this->shared_from_this(), sent](exchange_result result) {
                                  self->finish_attempt(sent, std::move(result));
                              });
        if (is_idempotent() && m_running_attempts.size() == 1) {
            start_hedge_timer(sent);
        }
    }

    base::duration round_trip_to(const placement::server_state& server) const {
        return m_state.round_trips.expected(server.registration.failure_domain,
                                            server.region == m_state.servers.own_locality().region);
    }

    bool any_attempt_sent() const {
        const bool is_relayed = m_relay && m_relay->was_sent();
        return is_relayed ||
               std::any_of(m_running_attempts.begin(), m_running_attempts.end(),
                           [](const attempt_handle& item) { return item->exchange->was_sent(); });
    }

    void abort_attempts() {
        for (const auto& item : m_running_attempts) {
            item->exchange->abort();
            m_state.servers.record_request_end(*item->server);
        }
        m_running_attempts.clear();
        if (m_relay) {
            m_relay->abort();
            m_relay.reset();
        }
    }

    // Aborts attempts whose outcome nobody waits for any longer. A server may still be lost to suspected
    // content after that.
    void abandon_attempts() {
        for (const auto& item : m_running_attempts) {
            if (item->losses_when_sent.is_suspected() && item->exchange->was_sent()) {
                check_server_end(item, nullptr);
            }
        }
        abort_attempts();
    }

    // Hedging: an idempotent request is also sent to a second server once its response is overdue. The first
    // server may be slow, or the request or the response may be lost. The first good response is used.
    void start_hedge_timer(const attempt_handle& first) {
        const auto overdue_at = base::monotonic_now() + placement::overdue_after(first->expected_latency);
        m_hedge_timer.start(overdue_at, this->weak_from_this(),
                            [first](forwarded_request& self) { self.hedge(first); });
    }

    void hedge(const attempt_handle& first) {
        const auto now = base::monotonic_now();
        const bool is_suspected =
            m_content.known_losses(now).is_suspected(); // it may crash the second server as well
        if (is_suspected || m_running_attempts.size() != 1 ||
            m_attempt_count + 1 >= m_route->maximum_attempts) {
            return;
        }
        // While requests queue at the server, a late response is expected, and a hedge would only add load.
        if (m_state.selector.expected_wait(*first->server, now) > base::duration::zero()) {
            start_hedge_timer(first);
            return;
        }
        const auto placed = m_state.selector.choose(next_placement_request(now), now);
        const bool can_start_at_once =
            placed.server && m_state.selector.expected_wait(*placed.server, now) <= base::duration::zero();
        if (!can_start_at_once || !try_spend_retry_budget(retry_cause::overdue, now)) {
            return;
        }
        ++m_attempt_count; // counts the first attempt, which is still running
        send_to(placed, now);
    }

    void finish_attempt(const attempt_handle& sent, exchange_result result) {
        const auto now = base::monotonic_now();
        std::erase(m_running_attempts, sent);
        m_state.servers.record_request_end(*sent->server);
        if (result.connect_time > base::duration::zero()) {
            m_state.round_trips.observe(sent->server->registration.failure_domain, result.connect_time);
            m_state.contact.record_connection(now);
        }
        if (result.outcome == exchange_outcome::answered) {
            handle_response(*sent, std::move(result), now);
            return;
        }
        if (result.outcome == exchange_outcome::withheld) {
            count_attempt("withheld");
            if (m_running_attempts.empty()) {
                send_to_next_server();
            }
            return;
        }
        count_attempt(result.outcome == exchange_outcome::not_connected ? "not-connected" : "lost");
        if (result.outcome != exchange_outcome::broken) {
            m_state.contact.record_failure(*sent->server, now);
        }
        m_state.record_no_answer(*sent->server, now);
        if (result.outcome != exchange_outcome::not_connected) {
            ++m_attempt_count;
            m_may_have_executed = true;
            m_log.write_lost_attempt(*sent->server, m_attempt_count, now - sent->chosen_at, now);
            m_tested_content.reset(); // one server at most
            if (sent->losses_when_sent.is_suspected()) {
                check_server_end(sent, [self = this->shared_from_this(), outcome = result.outcome] {
                    self->continue_after(outcome, base::monotonic_now());
                });
                return;
            }
            if (!m_state.contact.is_lost()) {
                m_content.record_loss({}, now);
            }
        }
        continue_after(result.outcome, now);
    }

    // Retries or ends the request after an attempt without a whole response.
    void continue_after(exchange_outcome outcome, base::time_point now) {
        if (!m_running_attempts.empty() || m_is_completed) {
            return; // the other server may still respond, or the deadline has passed
        }
        if (outcome == exchange_outcome::not_connected) {
            const bool is_hopeless = m_state.contact.is_lost() && m_is_relay_refused;
            if (!is_hopeless && ++m_connect_failures <= maximum_connect_failures) {
                send_to_next_server();
                return;
            }
            if (try_relay()) {
                return;
            }
            respond_with_failure(base::error_kind::no_server_available, now);
            return;
        }
        if (may_retry(retry_cause::lost, now)) {
            send_to_next_server();
            return;
        }
        respond_with_failure(outcome == exchange_outcome::broken ? base::error_kind::answer_truncated
                                                                 : base::error_kind::server_lost,
                             now);
    }

    // Further losses of suspected content count only if the server has ended: answers and connections are
    // also lost while servers live. `then` runs afterwards.
    void check_server_end(const attempt_handle& sent, std::function<void()> then) {
        boost::asio::co_spawn(m_state.executor,
                              record_if_ended(this->shared_from_this(), sent, std::move(then)),
                              boost::asio::detached);
    }

    // A server that lost power under a request does not close its connection. Checked only for a server that
    // has answered nothing since the request was sent, and for one server at a time, since slow servers are
    // the usual cause of a deadline that passes.
    void check_silent_server(const attempt_handle& sent) {
        const bool is_silent = sent->server->last_answer_at < sent->chosen_at;
        if (sent->losses_when_sent.is_suspected() || !is_silent || m_state.checks_silent_server) {
            return; // suspected content is checked in any case
        }
        m_state.checks_silent_server = true;
        check_server_end(sent, [&state = m_state] { state.checks_silent_server = false; });
    }

    static boost::asio::awaitable<void> record_if_ended(std::shared_ptr<forwarded_request> self,
                                                        attempt_handle sent, std::function<void()> then) {
        const auto timeout = connect_timeout(self->round_trip_to(*sent->server));
        bool has_ended = co_await has_server_ended(self->m_state.executor, sent->address, timeout);
        if (has_ended) { // behind a partition, all servers seem to have ended
            has_ended =
                co_await self->m_state.contact.reaches_server_other_than(sent->server->registration.id);
        }
        if (has_ended) {
            self->m_content.record_loss(sent->losses_when_sent, base::monotonic_now());
        }
        if (self->m_is_completed || self->m_caller_disconnected) {
            self->m_content.share_losses(base::monotonic_now());
        }
        if (then) {
            then();
        }
    }

    void handle_response(const attempt& sent, exchange_result result, base::time_point now) {
        ++m_attempt_count;
        auto& server = *sent.server;
        const unsigned status = result.response.result_int();
        const bool success = status >= 200 && status < 300;
        const bool is_unmarked_refusal = result.metadata.has_refusal_status && !result.metadata.not_executed;
        const bool intact = success ? result.metadata.has_signature && !result.metadata.has_content_encoding
                                    : !is_unmarked_refusal;
        const bool good = !result.metadata.not_executed && status < 500 && intact;
        if (result.metadata.load) {
            m_state.servers.record_load_report(server, *result.metadata.load, now);
            m_state.selector.record_load(m_service, server.region, result.metadata.load->utilization(), now);
        }
        m_state.record_rate_limit(server, result.metadata,
                                  good ? answer_verdict::good : answer_verdict::failed, sent.chosen_at, now);
        // A refusal by a full server is legitimate; a server that refuses with free slots is failing.
        const bool full = result.metadata.not_executed && result.metadata.load &&
                          result.metadata.load->utilization() > full_server_load;
        m_state.servers.record_answer(server, good || full, now);
        m_state.record_notices(server, result.metadata, now);
        // An error does not show that the content is harmless: the server may have failed before it got to
        // the part that ends servers, or run out of time.
        if (good && m_tested_content) {
            m_content.release(*m_tested_content, now);
        } else if (good && m_content.record_answer(now)) {
            m_log.write_cleared_content(server, status, now);
        }
        count_attempt(result.metadata.not_executed ? "refused" : good ? "good" : "failed");
        if (result.metadata.other_server) {
            m_state.servers.mark_address_reassigned(server);
        }
        m_answering_server = server.registration.id;
        if (good) {
            record_good_response(sent, result, now);
            forward_response(std::move(result.response), now);
            return;
        }
        if (!result.metadata.not_executed) {
            m_may_have_executed = true;
            if (intact) {
                m_failed_response = std::move(result.response);
            }
        }
        if (!m_running_attempts.empty()) {
            return; // the other server may still respond
        }
        const bool retries = result.metadata.not_executed
                                 ? m_attempt_count < m_route->maximum_attempts &&
                                       try_spend_retry_budget(retry_cause::refused, now)
                                 : may_retry(retry_cause::failed, now);
        if (retries) {
            send_to_next_server();
            return;
        }
        respond_with_failure(result.metadata.not_executed ? base::error_kind::server_refused
                                                          : base::error_kind::answer_truncated,
                             now);
    }

    void record_good_response(const attempt& sent, const exchange_result& result, base::time_point now) {
        auto& server = *sent.server;
        const bool queued = result.metadata.load && result.metadata.load->waiting > 0;
        m_state.affinity.record(m_object_hash, server.id_hash);
        m_log.write_served(*m_route, m_service, server, sent.cache_state, result, sent.expected_latency);
        const auto run_time = result.run_time - std::min(result.run_time, round_trip_to(server));
        if (queued || m_state.servers.is_cold(server, now) ||
            m_state.pauses.has_paused_since(sent.chosen_at)) {
            m_state.selector.observe_delayed(m_route->name, m_service, sent.cache_state, run_time, now);
            return;
        }
        m_state.selector.observe(server, m_route->name, m_service, sent.cache_state, run_time, now);
    }

    // Whether a request that may have been executed can be sent to another server; spends retry budget if so.
    bool may_retry(retry_cause cause, base::time_point now) {
        return is_idempotent() && m_attempt_count < m_route->maximum_attempts &&
               try_spend_retry_budget(cause, now);
    }

    bool try_spend_retry_budget(retry_cause cause, base::time_point now) {
        return !m_caller_disconnected && m_state.retries_of(m_service, now).try_spend(cause, now);
    }

    void fail_unplaced(const placement::placement_result& placed, base::time_point now) {
        const bool is_known = placed.retry_after > base::duration::zero();
        m_retry_after = is_known ? placed.retry_after : placement::server_selector::minimum_retry_after;
        switch (placed.reason) {
        case placement::refusal::overload:
            respond_with_failure(base::error_kind::overloaded, now);
            return;
        case placement::refusal::rate_limit:
            respond_with_failure(base::error_kind::request_rate_limited, now);
            return;
        case placement::refusal::resting:
            respond_with_failure(base::error_kind::servers_resting, now);
            return;
        case placement::refusal::too_late:
            m_log.write_too_late(*m_route, placed, attempts_end() - now, now);
            respond_with_failure(attempts_end() < m_deadline ? base::error_kind::stopping
                                                             : base::error_kind::deadline_unreachable,
                                 now);
            return;
        default:
            respond_with_failure(base::error_kind::no_server_available, now);
            return;
        }
    }

    // Ends the request when no further attempt is possible: forwards a server's failed response if there is
    // one, otherwise responds with an error.
    void respond_with_failure(base::error_kind kind, base::time_point now) {
        if (m_failed_response) {
            forward_response(std::move(*m_failed_response), now);
            return;
        }
        const bool claims_not_executed =
            base::properties_of(kind).execution == base::execution_state::not_executed;
        respond_with_error(claims_not_executed && m_may_have_executed ? base::error_kind::server_lost : kind,
                           m_retry_after, now);
    }

    void handle_deadline() {
        const auto now = base::monotonic_now();
        const bool may_have_executed = m_may_have_executed || any_attempt_sent();
        for (const auto& item : m_running_attempts) {
            // Counts against the server only if the response is overdue: the first run for an object may take
            // longer than the route allows.
            const bool overdue = now - item->chosen_at > placement::overdue_after(item->expected_latency);
            if (overdue && item->exchange->was_sent()) {
                m_state.record_no_answer(*item->server, now);
                check_silent_server(item);
            }
        }
        abandon_attempts();
        respond_with_error(may_have_executed ? base::error_kind::deadline_exceeded
                                             : base::error_kind::deadline_exceeded_before_dispatch,
                           m_retry_after, now);
    }

    void post_error_response(base::error_kind kind, base::duration retry_after) {
        boost::asio::post(m_state.executor, [self = this->shared_from_this(), kind, retry_after] {
            self->respond_with_error(kind, retry_after, base::monotonic_now());
        });
    }

    void respond_with_error(base::error_kind kind, base::duration retry_after, base::time_point now) {
        // The gateway that has sent the request tries another one.
        const bool is_partitioned =
            kind == base::error_kind::no_server_available && m_state.contact.is_lost();
        if (m_relayed && (is_partitioned || kind == base::error_kind::stopping)) {
            kind = base::error_kind::peer_refused;
        }
        m_deadline_timer.cancel();
        m_hedge_timer.cancel();
        m_content.share_losses(now);
        if (base::properties_of(kind).execution == base::execution_state::not_executed) {
            refund_quota();
        }
        if (!m_respond) {
            return;
        }
        const auto& error = base::properties_of(kind);
        m_state.metrics.add("carawayway_gateway_refusals_total",
                            {{"service", m_service}, {"kind", std::string(error.name)}});
        m_log.write_given_up({error.name, m_route, m_routes ? m_routes->source().version : 0, m_attempt_count,
                              m_tried_servers, now - m_arrived, retry_after},
                             now);
        auto response = error_response(error, m_may_have_executed ? base::duration::zero() : retry_after);
        Platform::write_request_id(response, m_metadata.request_id);
        if (m_relayed) {
            write_relay_verdict(response, {kind, {}});
        }
        complete_request(std::move(response), now);
    }

    // A request that has not run does not count for the quota of its account. What was admitted longer ago is
    // not given back, as it would be used in a later window than it was granted for.
    void refund_quota() {
        const bool is_recent = base::monotonic_now() - m_arrived <= longest_refund_time;
        if (m_is_in_quota && !m_may_have_executed && is_recent) {
            m_state.quotas.refund(m_account->name);
        }
        m_is_in_quota = false;
    }

    void forward_response(http_response response, base::time_point now) {
        m_deadline_timer.cancel();
        m_hedge_timer.cancel();
        abort_attempts();
        if (m_tried_servers.size() > 1) {
            m_log.write_repeated(response.result_int(), m_attempt_count, m_tried_servers, now - m_arrived,
                                 now);
        }
        remove_hop_by_hop_headers(response);
        remove_relay_headers(response);
        if (m_relayed) {
            write_relay_verdict(response, {std::nullopt, m_answering_server});
        }
        m_trial_permit.reset();
        complete_request(std::move(response), now);
    }

    void complete_request(http_response response, base::time_point now) {
        m_is_completed = true;
        const std::string rank = m_route == nullptr ? "none" : std::to_string(priority());
        m_state.metrics.add(
            "carawayway_gateway_requests_total",
            {{"priority", rank}, {"service", m_service}, {"status", std::to_string(response.result_int())}});
        m_state.metrics.observe("carawayway_gateway_request_duration_seconds",
                                {{"priority", rank}, {"service", m_service}}, now - m_arrived);
        if (!m_respond) {
            return;
        }
        const auto respond = std::move(m_respond);
        m_respond = nullptr;
        respond(std::move(response));
    }

    void count_attempt(std::string_view outcome) {
        m_state.metrics.add("carawayway_gateway_attempts_total",
                            {{"end", std::string(outcome)}, {"service", m_service}});
    }

    gateway_state& m_state;
    std::shared_ptr<http_request> m_request; // does not change once it is sent
    base::time_point m_arrived;
    response_callback m_respond;           // null after the response or when the caller has disconnected
    std::shared_ptr<void> m_place;         // given back when nothing refers to the request any more
    std::optional<relayed_call> m_relayed; // of the gateway that got the request from its caller, if another
    pause_aware_timer m_deadline_timer;
    pause_aware_timer m_hedge_timer;
    request_metadata m_metadata;
    request_content m_content{m_state.guard, *m_request, m_metadata.request_id, m_metadata.object};
    std::optional<steering::crash_count> m_tested_content; // while the request is a trial of it
    trial_permit m_trial_permit;                           // of a trial, until its result is known
    bool m_waits_for_trial = false;                        // for the permit
    request_log m_log{m_state.log, m_metadata, m_content};
    std::shared_ptr<const routing::route_table> m_routes; // keeps m_route alive across new configurations
    std::shared_ptr<const accounts::account_directory> m_accounts; // of the same configuration
    const routing::route* m_route = nullptr;
    const routing::client_account* m_account = nullptr; // of the caller; null without one
    routing::region_restriction m_regions;              // of the route and the account
    bool m_is_in_quota = false;                         // counted here, and may still be taken back
    std::string m_service;
    std::uint64_t m_object_hash = 0;
    base::time_point m_deadline{};
    base::duration m_time_spent_in_earlier_attempts{}; // by the caller
    std::vector<attempt_handle> m_running_attempts;    // at most two
    std::shared_ptr<request_relay<Platform>> m_relay;  // null unless another gateway has the request
    std::optional<http_response> m_failed_response;    // of a server; forwarded if no attempt succeeds
    base::duration m_retry_after = placement::server_selector::minimum_retry_after;
    std::vector<std::string> m_tried_servers; // IDs
    std::string m_answering_server;           // ID; empty without an answer
    std::uint32_t m_attempt_count;            // attempts that reached a server, also those of other gateways
    std::uint32_t m_connect_failures = 0;
    bool m_is_counted;       // as a first attempt, here or at another gateway
    bool m_is_relay_refused; // no other gateway takes the request, or it has come from one
    bool m_may_have_executed = false;
    bool m_caller_disconnected = false;
    bool m_is_completed = false; // a response was given to the caller
};

} // namespace carawayway::gateway

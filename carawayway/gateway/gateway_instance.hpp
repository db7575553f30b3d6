// One gateway process: listeners, store session, health probes and shutdown, on one thread.
#pragma once

#include "carawayway/base/build.hpp"
#include "carawayway/config/gateway_settings.hpp"
#include "carawayway/config/value_text.hpp"
#include "carawayway/gateway/crash_notices.hpp"
#include "carawayway/gateway/forwarded_request.hpp"
#include "carawayway/gateway/message_memory_size.hpp"
#include "carawayway/gateway/permit_session.hpp"
#include "carawayway/gateway/planned_stop.hpp"
#include "carawayway/gateway/quarantine_publisher.hpp"
#include "carawayway/gateway/quarantine_trials.hpp"
#include "carawayway/gateway/record_applier.hpp"
#include "carawayway/gateway/session_listener.hpp"
#include "carawayway/gateway/store_session.hpp"
#include "carawayway/gateway/usage_session.hpp"
#include "carawayway/net/endpoint.hpp"
#include "carawayway/net/listening_socket.hpp"
#include "carawayway/net/message_limits.hpp"
#include "carawayway/net/response_parser.hpp"
#include "carawayway/placement/gateway_selection.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>

#include <csignal>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace carawayway::gateway {

template <platform_protocol Platform>
class gateway_instance {
public:
    static constexpr base::duration tick_interval = std::chrono::milliseconds{250};
    // Limit for each of the lookup, readiness and metrics listeners.
    static constexpr std::size_t maximum_auxiliary_sessions = 256;
    // Connections of other gateways that relay requests. Idle ones stay open for reuse.
    static constexpr std::size_t maximum_relay_sessions = 512;
    // Longer than gateways keep an idle connection for reuse, whatever callers are allowed.
    static constexpr base::duration relay_idle_timeout = std::chrono::seconds{15};
    static constexpr std::uint64_t maximum_health_body_bytes = 64U << 10U;
    static constexpr std::uint64_t maximum_auxiliary_body_bytes = 1U << 10U;
    static constexpr base::duration memory_retry_after = std::chrono::milliseconds{500};
    // While as many requests as this part of the caller connections are in progress, each connection has one
    // at a time. Each takes a connection to a server, so that a few callers could take all descriptors.
    static constexpr std::uint32_t pipelining_divisor = 4;
    // Headers that the relaying gateway adds to those of the caller, at most.
    static constexpr std::uint32_t relay_header_bytes = 1024;

    // At the start, for addresses that are in use.
    static constexpr base::duration bind_retry_interval = std::chrono::milliseconds{200};
    static constexpr base::duration longest_bind_wait = std::chrono::seconds{10};

    using reload_function = std::function<std::optional<config::gateway_settings>()>;

    gateway_instance(config::gateway_settings settings, platform_bounds bounds, reload_function reload)
        : m_settings(std::move(settings)), m_reload(std::move(reload)), m_relay_key(random_relay_key()),
          m_state(
              m_context.get_executor(),
              {m_settings.name, m_settings.failure_domain, m_settings.region, m_settings.region_of_domain},
              bounds, message_memory_bytes(m_settings.memory_megabytes),
              [this](const steering::crash_count& count) {
                  if (m_crash_notices) {
                      m_crash_notices->share(count);
                  }
              },
              [this](const quarantine_change& change) { m_quarantine_publisher.publish(change); },
              [this](const steering::crash_count& subject, std::function<void(bool)> done) {
                  return m_quarantine_trials.try_claim(subject, std::move(done));
              },
              [this] { m_permit_session.wake(); }),
          m_quarantine_publisher(m_context.get_executor(), endpoint_of(m_settings.store_address),
                                 m_settings.name),
          m_quarantine_trials(m_context.get_executor(), endpoint_of(m_settings.store_address),
                              m_settings.name,
                              [this](std::string_view fingerprint) { return trial_rank(fingerprint); }),
          m_permit_session(m_context.get_executor(), endpoint_of(m_settings.store_address), m_state.servers),
          m_applier(m_state, [this] { m_store_session.handle_registration_loss(); }),
          m_store_session(
              m_context.get_executor(), endpoint_of(m_settings.store_address), own_registration(),
              fleet::lease_for(bounds.contact_time, m_settings.shortest_lease), m_replica,
              [this](const std::vector<fleet::store_record>& records, removal_certainty certainty) {
                  m_applier.apply(records, certainty, base::monotonic_now());
                  m_permit_session.wake();
                  m_replication_server->notify();
              },
              [this] {
                  m_state.metrics.add("carawayway_gateway_store_restores_total", {});
                  m_quarantine_publisher.publish_again();
                  m_permit_session.reset();
              },
              [this] { return peer_addresses(); }, [this] { return leader_address(); }),
          m_tick_timer(m_context), m_signals(m_context, SIGTERM, SIGINT, SIGHUP) {}

    // Runs until a signal stops the gateway. Throws boost::system::system_error if an address cannot be
    // bound, also after a while.
    void run() {
        wait_for_signal();
        open_listeners_by(base::monotonic_now() + longest_bind_wait);
        while (!run_until_exception()) {
        }
        base::log(base::log_level::info, "stopped", {{"gateway", m_settings.name}});
    }

private:
    // Returns whether the gateway has ended. What a handler throws, for example when no memory can be
    // allocated, ends what the handler has served and not the process. An address that cannot be bound does.
    bool run_until_exception() {
        try {
            m_context.run();
            return true;
        } catch (const std::exception& error) {
            if (!m_has_started) {
                throw;
            }
            m_state.metrics.add("carawayway_gateway_handler_failures_total", {});
            base::log(base::log_level::error, "handler-failed", {{"reason", error.what()}});
            return false;
        }
    }

    // The process that has run here before may not have ended.
    void open_listeners_by(base::time_point latest) {
        try {
            open_listeners();
        } catch (const boost::system::system_error& error) {
            if (!net::is_address_unavailable(error.code()) || base::monotonic_now() >= latest) {
                throw;
            }
            base::log(base::log_level::warning, "address-unavailable", {{"reason", error.what()}});
            close_listeners();
            m_tick_timer.expires_after(bind_retry_interval);
            m_tick_timer.async_wait([this, latest](boost::system::error_code stopped) {
                if (!stopped) {
                    open_listeners_by(latest);
                }
            });
            return;
        }
        start();
    }

    void start() {
        m_has_started = true;
        m_store_session.start();
        m_permit_session.start();
        tick();
        base::log(base::log_level::info, "started",
                  {{"gateway", m_settings.name},
                   {"domain", m_settings.failure_domain},
                   {"region", m_settings.region},
                   {"build", base::build_name()},
                   {"level", fleet::agreement_level}});
        log_limits();
    }

    void log_limits() const {
        const auto& bounds = m_state.bounds;
        base::log(base::log_level::info, "limits-in-force",
                  {{"retry_share", bounds.retry_share},
                   {"retry_slack", bounds.retry_slack},
                   {"retry_window_ms", base::to_milliseconds(bounds.retry_window)},
                   {"cold_rate_factor", bounds.cold.rate_factor},
                   {"cold_extra_requests_per_second", bounds.cold.extra_requests_per_second},
                   {"region_shift_share", bounds.region_shift_share},
                   {"lookup_lifetime_ms", base::to_milliseconds(bounds.lookup_lifetime)},
                   {"stop_grace_ms", base::to_milliseconds(bounds.stop_grace)}});
    }

    static boost::asio::ip::tcp::endpoint endpoint_of(const config::socket_address& address) {
        return {boost::asio::ip::make_address(address.host), address.port};
    }

    fleet::gateway_registration own_registration() const {
        return {m_settings.name,
                m_settings.failure_domain,
                m_settings.region,
                config::format_value(m_settings.caller_address),
                config::format_value(m_settings.peer_address),
                text_of(m_settings.notice_address),
                text_of(m_settings.relay_address),
                m_relay_key,
                {m_settings.link_megabits, m_settings.processor_share},
                {std::string(base::build_name()), fleet::agreement_level},
                text_of(m_settings.quota_address)};
    }

    static std::string text_of(const std::optional<config::socket_address>& address) {
        return address ? config::format_value(*address) : std::string{};
    }

    // The store gives the key to gateways alone, so that nobody else can use the relay address.
    static std::string random_relay_key() {
        std::random_device random;
        return fmt::format("{:08x}{:08x}{:08x}{:08x}", random(), random(), random(), random());
    }

    session_limits caller_limits() const {
        const auto& routes = m_state.routes();
        const routing::caller_limits limits = routes ? routes->source().limits : routing::caller_limits{};
        return {limits.header_bytes,
                std::min<std::uint64_t>(limits.body_bytes, m_settings.largest_body_bytes),
                limits.header_timeout, limits.idle_timeout};
    }

    void open_listeners() {
        const auto executor = m_context.get_executor();
        const auto limits = [this] { return caller_limits(); };
        m_caller_listener = std::make_unique<session_listener>(
            executor, endpoint_of(m_settings.caller_address), m_settings.caller_connections,
            session_policy{
                [this](http_request request, base::time_point arrived, response_callback respond) {
                    return forward(std::move(request), arrived, std::move(respond));
                },
                limits, m_state.messages,
                [this](const http::fields& head) { return refuse_for_memory(head); },
                [this] { return m_caller_requests < m_settings.caller_connections / pipelining_divisor; },
                [this](std::string_view cause) { record_ended_early(cause); }});
        m_state.messages.set_pressure_handler([this] { make_room(); });
        open_auxiliary_listener(m_settings.readiness_address,
                                [this](const http_request& request) { return readiness_response(request); });
        open_auxiliary_listener(m_settings.lookup_address,
                                [this](const http_request& request) { return lookup_response(request); });
        if (m_settings.metrics_address) {
            open_auxiliary_listener(*m_settings.metrics_address,
                                    [this](const http_request&) { return metrics_response(); });
        }
        m_replication_server =
            std::make_unique<replication_server>(executor, endpoint_of(m_settings.peer_address), m_replica,
                                                 [this] { return m_store_session.watch_status(); });
        if (m_settings.notice_address) {
            open_crash_notices(*m_settings.notice_address);
        }
        if (m_settings.relay_address) {
            open_relay_listener(*m_settings.relay_address);
        }
        if (m_settings.quota_address) {
            open_usage_session(*m_settings.quota_address);
        }
    }

    void close_listeners() {
        for (auto* const listener : request_listeners()) {
            listener->close();
        }
        for (const auto& listener : m_auxiliary_listeners) {
            listener->close();
        }
        if (m_replication_server) {
            m_replication_server->close();
        }
        m_caller_listener.reset();
        m_relay_listener.reset();
        m_auxiliary_listeners.clear();
        m_replication_server.reset();
        m_crash_notices.reset();
        m_state.set_quota_handler(nullptr);
        m_usage_session.reset();
    }

    void open_relay_listener(const config::socket_address& address) {
        m_relay_listener = std::make_unique<session_listener>(
            m_context.get_executor(), endpoint_of(address), maximum_relay_sessions,
            session_policy{[this](http_request request, base::time_point arrived, response_callback respond) {
                               return forward_relayed(std::move(request), arrived, std::move(respond));
                           },
                           [this] {
                               auto limits = caller_limits();
                               limits.header_bytes += relay_header_bytes;
                               limits.idle_timeout = relay_idle_timeout;
                               return limits;
                           },
                           m_state.messages,
                           [this](const http::fields& head) {
                               auto response = refuse_for_memory(head);
                               write_relay_verdict(response, {base::error_kind::peer_refused, {}});
                               return response;
                           },
                           [] { return true; },
                           [this](std::string_view cause) { record_ended_early(cause); }});
    }

    void open_crash_notices(const config::socket_address& address) {
        m_crash_notices = std::make_unique<crash_notices>(
            m_context.get_executor(), udp_endpoint(endpoint_of(address)),
            [this] { return notice_recipients(); },
            [this](const std::vector<steering::crash_count>& counts) {
                const auto now = base::monotonic_now();
                std::vector<steering::crash_count> replies;
                for (const auto& count : counts) {
                    if (const auto reply = m_state.guard.reply_to(count, now)) {
                        replies.push_back(*reply);
                    }
                    m_state.guard.merge(count, quarantine_source::peer, now);
                }
                return replies;
            });
    }

    void open_usage_session(const config::socket_address& address) {
        m_usage_session = std::make_unique<usage_session>(
            m_context.get_executor(), udp_endpoint(endpoint_of(address)), m_state.quotas,
            usage_session::directory{[this](const std::string& name) { return quota_endpoint_of(name); },
                                     [this](const boost::asio::ip::udp::endpoint& sender) {
                                         return m_state.quota_reporter_at(
                                             config::format_value(config::socket_address{
                                                 sender.address().to_string(), sender.port()}));
                                     }});
        m_state.set_quota_handler([this] { m_usage_session->wake(); });
    }

    std::optional<boost::asio::ip::udp::endpoint> quota_endpoint_of(const std::string& name) const {
        const auto text = m_state.quota_address_of(name);
        const auto address = text ? net::parse_endpoint(*text) : std::nullopt;
        return address ? std::optional(udp_endpoint(*address)) : std::nullopt;
    }

    static boost::asio::ip::udp::endpoint udp_endpoint(const boost::asio::ip::tcp::endpoint& address) {
        return {address.address(), address.port()};
    }

    std::size_t trial_rank(std::string_view fingerprint) const {
        const auto others = m_state.servers.gateways().others_that_may_run(base::monotonic_now());
        const auto own = base::rendezvous_rank(fingerprint, m_settings.name);
        return static_cast<std::size_t>(
            std::count_if(others.begin(), others.end(), [&](const fleet::gateway_registration& other) {
                return base::rendezvous_rank(fingerprint, other.name) > own;
            }));
    }

    std::vector<boost::asio::ip::udp::endpoint> notice_recipients() const {
        std::vector<boost::asio::ip::udp::endpoint> recipients;
        const auto& gateways = m_state.servers.gateways();
        for (const auto& other : gateways.others_that_may_run(base::monotonic_now())) {
            if (const auto address = net::parse_endpoint(other.notice_address)) {
                recipients.push_back(udp_endpoint(*address));
            }
        }
        return recipients;
    }

    // Serves responses built from memory. Each is sent in the next iteration of the event loop, since a
    // request handler must return before it responds.
    void open_auxiliary_listener(const config::socket_address& address,
                                 std::function<http_response(const http_request&)> handler) {
        m_auxiliary_listeners.push_back(std::make_unique<session_listener>(
            m_context.get_executor(), endpoint_of(address), maximum_auxiliary_sessions,
            session_policy{
                [this, handler = std::move(handler)](http_request request, base::time_point,
                                                     response_callback respond) {
                    boost::asio::post(m_context,
                                      [handler, request = std::move(request), respond = std::move(respond)] {
                                          respond(handler(request));
                                      });
                    return request_control{};
                },
                [this] {
                    auto limits = caller_limits();
                    limits.body_bytes = std::min(limits.body_bytes, maximum_auxiliary_body_bytes);
                    return limits;
                },
                m_state.messages, [this](const http::fields& head) { return refuse_for_memory(head); },
                [] { return true; }, [this](std::string_view cause) { record_ended_early(cause); }}));
    }

    void record_ended_early(std::string_view cause) {
        m_state.metrics.add("carawayway_gateway_connections_ended_total", {{"cause", std::string(cause)}});
        m_state.log.write(base::log_level::warning, "connection-ended", {{"cause", cause}},
                          base::monotonic_now());
    }

    // The callers that hold the most memory for the longest time give way, a few at once, so that a crowd is
    // gone after some attempts of others.
    void make_room() {
        static constexpr int sessions_at_once = 4;
        for (int count = 0; count < sessions_at_once && m_caller_listener; ++count) {
            if (!m_caller_listener->end_stalled_session()) {
                return;
            }
        }
    }

    static request_control start(const std::shared_ptr<forwarded_request<Platform>>& request) {
        request->start();
        return {[request] { request->cancel(); }, [request] { request->expire(); }};
    }

    request_control forward(http_request request, base::time_point arrived, response_callback respond) {
        ++m_caller_requests;
        auto place = std::shared_ptr<void>(nullptr, [this](void*) { --m_caller_requests; });
        auto forwarded = std::make_shared<forwarded_request<Platform>>(
            m_state, std::move(request), m_state.pauses.earliest_arrival(arrived), std::move(respond),
            std::move(place));
        return start(forwarded);
    }

    // The response to a request that is not handled, since requests and responses take all memory for them.
    http_response refuse_for_memory(const http::fields& head) {
        const auto& error = base::properties_of(base::error_kind::memory_exhausted);
        const auto request_id = Platform::read_call(head).request_id;
        m_state.metrics.add("carawayway_gateway_refusals_total",
                            {{"service", ""}, {"kind", std::string(error.name)}});
        m_state.log.write(
            base::log_level::warning, "request-refused",
            {{"request_id", request_id}, {"kind", error.name}, {"held_bytes", m_state.messages.used_bytes()}},
            base::monotonic_now());
        auto response = error_response(error, memory_retry_after);
        Platform::write_request_id(response, request_id);
        return response;
    }

    // Takes a request of another gateway, as long as this one has room for it.
    request_control forward_relayed(http_request request, base::time_point arrived,
                                    response_callback respond) {
        const auto call = read_relayed_call(request);
        if (!has_relay_key(request, m_relay_key) || !call) {
            refuse_relayed(base::error_kind::unauthorized, request, std::move(respond));
            return {};
        }
        if (m_relayed_requests >= m_settings.relayed_requests) {
            refuse_relayed(base::error_kind::peer_refused, request, std::move(respond));
            return {};
        }
        ++m_relayed_requests;
        m_state.metrics.add("carawayway_gateway_relayed_requests_total", {{"end", "taken"}});
        auto place = std::shared_ptr<void>(nullptr, [this](void*) { --m_relayed_requests; });
        auto forwarded = std::make_shared<forwarded_request<Platform>>(
            m_state, std::move(request), m_state.pauses.earliest_arrival(arrived), std::move(respond),
            std::move(place), call);
        return start(forwarded);
    }

    void refuse_relayed(base::error_kind kind, const http_request& request, response_callback respond) {
        const auto& error = base::properties_of(kind);
        m_state.metrics.add("carawayway_gateway_relayed_requests_total", {{"end", std::string(error.name)}});
        m_state.log.write(base::log_level::warning, "relayed-request-refused",
                          {{"request_id", Platform::read_call(request).request_id}, {"kind", error.name}},
                          base::monotonic_now());
        auto response = error_response(error, {});
        Platform::write_request_id(response, Platform::read_call(request).request_id);
        write_relay_verdict(response, {kind, {}});
        boost::asio::post(m_context,
                          [response = std::move(response), respond = std::move(respond)]() mutable {
                              respond(std::move(response));
                          });
    }

    bool is_ready() const { return !m_state.stop && m_state.routes() && m_state.servers.size() > 0; }

    http_response readiness_response(const http_request& request) const {
        if (!Platform::is_readiness(request.target())) {
            return http_response{http::status::not_found, 11};
        }
        return http_response{is_ready() ? http::status::ok : http::status::service_unavailable, 11};
    }

    http_response lookup_response(const http_request& request) {
        const auto query = Platform::read_lookup(request.target());
        if (!query) {
            return http_response{http::status::not_found, 11};
        }
        const auto allowed =
            m_state.routes() ? m_state.routes()->allowed_regions(query->host) : std::vector<std::string>{};
        auto addresses = placement::choose_gateways(m_state.servers.gateways(),
                                                    {query->failure_domain, query->region, allowed});
        if (addresses.empty() && is_ready()) {
            addresses.push_back(config::format_value(m_settings.caller_address));
        }
        if (addresses.empty()) {
            return http_response{http::status::service_unavailable, 11};
        }
        http_response response{http::status::ok, 11};
        response.set(http::field::content_type, "application/json");
        response.body() = Platform::write_lookup(addresses, m_state.bounds.lookup_lifetime);
        return response;
    }

    http_response metrics_response() {
        count_builds();
        count_message_bytes();
        http_response response{http::status::ok, 11};
        response.set(http::field::content_type, "text/plain; version=0.0.4");
        response.body() = m_state.metrics.to_prometheus();
        return response;
    }

    void count_message_bytes() {
        const auto set = [this](const char* state, std::size_t bytes) {
            m_state.metrics.set("carawayway_gateway_message_bytes", {{"state", state}},
                                static_cast<double>(bytes));
        };
        set("held", m_state.messages.used_bytes());
        set("most", m_state.messages.most_used_bytes());
        set("limit", m_state.messages.total_bytes());
    }

    void count_builds() {
        static constexpr const char* family = "carawayway_gateway_builds";
        std::map<std::pair<std::string, std::uint32_t>, std::size_t> gateways;
        for (const auto& [name, registration] : m_state.servers.gateways().all()) {
            ++gateways[{registration.build.name, registration.build.level}];
        }
        m_state.metrics.clear(family);
        for (const auto& [build, count] : gateways) {
            m_state.metrics.set(family, {{"build", build.first}, {"level", std::to_string(build.second)}},
                                static_cast<double>(count));
        }
    }

    std::vector<boost::asio::ip::tcp::endpoint> peer_addresses() const {
        std::vector<boost::asio::ip::tcp::endpoint> addresses;
        for (const auto& [name, registration] : m_state.servers.gateways().all()) {
            const auto address = net::parse_endpoint(registration.peer_address);
            if (address && name != m_settings.name) {
                addresses.push_back(*address);
            }
        }
        if (addresses.empty()) {
            for (const auto& seed : m_settings.seeds) {
                if (seed != m_settings.peer_address) {
                    addresses.push_back(endpoint_of(seed));
                }
            }
        }
        return addresses;
    }

    std::optional<boost::asio::ip::tcp::endpoint> leader_address() const {
        const auto leader = m_state.servers.gateways().leader_of_own_domain();
        return leader ? net::parse_endpoint(leader->peer_address) : std::nullopt;
    }

    void tick() {
        const auto now = base::monotonic_now();
        m_tick_timer.expires_after(tick_interval); // before the work, which may throw
        m_tick_timer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                tick();
            }
        });
        if (const auto pause = m_state.pauses.record_turn(now, now + tick_interval);
            pause > base::duration{}) {
            m_state.metrics.add("carawayway_gateway_pauses_total", {});
            base::log(base::log_level::warning, "process-paused", {{"ms", base::to_milliseconds(pause)}});
        }
        m_applier.remove_missing(m_store_session.health(), now);
        m_state.update_quota_gateways(now);
        m_state.connections.close_stale(now);
        m_state.peer_connections.close_stale(now);
        m_state.contact.start_due_check(now);
        m_state.report_overloads(now);
        if (now >= m_next_retry_log) {
            m_next_retry_log = now + gateway_state::retry_log_interval;
            m_state.log_retries(now);
        }
        for (const auto& server : m_state.servers.begin_due_probes(now)) {
            probe(server);
        }
    }

    void probe(const placement::server_handle& server) {
        const auto address = net::parse_endpoint(server->registration.address);
        const auto* const service =
            m_state.routes() ? m_state.routes()->find_service(server->registration.service) : nullptr;
        if (!address || service == nullptr) {
            m_state.servers.record_probe_result(*server, placement::health_check_result::no_answer, {},
                                                base::monotonic_now());
            return;
        }
        boost::asio::co_spawn(m_context, probe_server(server, *address, service->health_path),
                              boost::asio::detached);
    }

    boost::asio::awaitable<void> probe_server(placement::server_handle server,
                                              boost::asio::ip::tcp::endpoint address, std::string path) {
        static constexpr std::chrono::milliseconds probe_timeout{600};
        using boost::asio::redirect_error;
        using boost::asio::use_awaitable;
        health_report report;
        boost::beast::tcp_stream stream(m_context);
        stream.expires_after(probe_timeout);
        boost::system::error_code error;
        co_await stream.async_connect(address, redirect_error(use_awaitable, error));
        if (!error) {
            m_state.contact.record_connection(base::monotonic_now());
        }
        http_request request{http::verb::get, path, 11};
        request.set(http::field::host, server->registration.address);
        request.keep_alive(false);
        if (!error) {
            co_await http::async_write(stream, request, redirect_error(use_awaitable, error));
        }
        net::response_parser<http::string_body> parser;
        net::chunk_extension_limit extension_limit(parser);
        parser.body_limit(maximum_health_body_bytes);
        boost::beast::flat_buffer buffer(net::maximum_read_buffer_bytes);
        if (!error) {
            co_await http::async_read(stream, buffer, parser, redirect_error(use_awaitable, error));
        }
        const auto response = parser.release();
        if (!error) {
            report = Platform::read_health(response.result_int(), response, server->registration.id);
            if (report.verdict != placement::health_check_result::other_server) {
                m_state.record_notices(*server, Platform::read_answer(response.result_int(), response),
                                       base::monotonic_now());
            }
        }
        m_state.servers.record_probe_result(*server, report.verdict, report.cold_left, base::monotonic_now());
        if (report.verdict == placement::health_check_result::healthy) {
            base::log(
                base::log_level::info, "server-back",
                {{"server", server->registration.id}, {"cold_ms", base::to_milliseconds(report.cold_left)}});
        }
    }

    void wait_for_signal() {
        m_signals.async_wait([this](boost::system::error_code error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                wait_for_signal();
                reload();
                return;
            }
            stop();
        });
    }

    void reload() {
        const auto fresh = m_reload();
        if (!fresh) {
            base::log(base::log_level::error, "settings-refused", {{"kept", "the current settings"}});
            return;
        }
        base::set_log_level(fresh->log_level);
        auto comparable = *fresh;
        comparable.log_level = m_settings.log_level;
        base::log(base::log_level::info, "settings-reloaded",
                  {{"restart_needed", !(comparable == m_settings)}});
    }

    std::vector<session_listener*> request_listeners() const {
        std::vector<session_listener*> listeners;
        for (const auto& listener : {std::cref(m_caller_listener), std::cref(m_relay_listener)}) {
            if (listener.get()) {
                listeners.push_back(listener.get().get());
            }
        }
        return listeners;
    }

    // Reports not ready at once, and keeps serving requests that still arrive and can end in time.
    void stop() {
        if (!m_caller_listener) { // still waits for an address
            m_context.stop();
            return;
        }
        const auto schedule = stop_schedule::after_signal(base::monotonic_now(), m_state.bounds.stop_grace);
        m_state.stop = schedule;
        base::log(base::log_level::info, "stopping", {{"sessions", m_caller_listener->size()}});
        m_store_session.deregister();
        m_permit_session.stop();
        m_planned_stop = std::make_unique<planned_stop>(m_context.get_executor(), request_listeners(),
                                                        [this] { m_context.stop(); });
        m_planned_stop->start(schedule);
    }

    config::gateway_settings m_settings;
    reload_function m_reload;
    std::string m_relay_key;              // that other gateways present with the requests that they relay
    boost::asio::io_context m_context{1}; // one thread runs it
    gateway_state m_state;
    quarantine_publisher<Platform> m_quarantine_publisher;
    quarantine_trials<Platform> m_quarantine_trials;
    permit_session<Platform> m_permit_session;
    fleet::store_replica m_replica;
    record_applier<Platform> m_applier;
    store_session<Platform> m_store_session;
    std::unique_ptr<session_listener> m_caller_listener;
    std::uint32_t m_caller_requests = 0;                // that have no response yet
    std::unique_ptr<session_listener> m_relay_listener; // null without an address for it
    std::uint32_t m_relayed_requests = 0;               // of other gateways that are running
    std::vector<std::unique_ptr<session_listener>> m_auxiliary_listeners;
    std::unique_ptr<replication_server> m_replication_server;
    std::unique_ptr<crash_notices> m_crash_notices; // null without an address for notices
    std::unique_ptr<usage_session> m_usage_session; // null without an address for quotas
    boost::asio::steady_timer m_tick_timer;
    boost::asio::signal_set m_signals;
    base::time_point m_next_retry_log{};
    bool m_has_started = false;                   // all addresses are bound
    std::unique_ptr<planned_stop> m_planned_stop; // null before the signal
};

} // namespace carawayway::gateway

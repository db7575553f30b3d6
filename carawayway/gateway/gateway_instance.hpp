// One gateway: listeners, store, servers and the stop, on one thread.
#pragma once

#include "carawayway/config/gateway_settings.hpp"
#include "carawayway/config/value_text.hpp"
#include "carawayway/gateway/forwarded_request.hpp"
#include "carawayway/gateway/record_applier.hpp"
#include "carawayway/gateway/session_listener.hpp"
#include "carawayway/gateway/store_session.hpp"
#include "carawayway/net/endpoint.hpp"
#include "carawayway/placement/gateway_selection.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <memory>

namespace carawayway::gateway {

template <platform_protocol Platform>
class gateway_instance {
public:
    static constexpr base::duration tick_interval = std::chrono::milliseconds{250};
    // After SIGTERM callers move to other gateways; new connections are accepted as long as some may still
    // arrive.
    static constexpr base::duration accept_after_stop = std::chrono::milliseconds{3000};
    // The process ends this long before it would be killed.
    static constexpr base::duration stop_margin = std::chrono::milliseconds{400};
    static constexpr std::size_t most_service_sessions = 256; // look-ups, readiness, metrics; each on its own

    using reload_function = std::function<std::optional<config::gateway_settings>()>;

    gateway_instance(config::gateway_settings settings, platform_bounds bounds, reload_function reload)
        : m_settings(std::move(settings)), m_reload(std::move(reload)),
          m_state(
              m_context.get_executor(),
              {m_settings.name, m_settings.failure_domain, m_settings.region, m_settings.region_of_domain},
              bounds),
          m_applier(m_state, [this] { m_store.own_entry_lost(); }),
          m_store(
              m_context.get_executor(), endpoint_of(m_settings.store_address), own_facts(),
              std::max<base::duration>(store_session<Platform>::lease_lifetime, m_settings.shortest_lease),
              m_facts,
              [this](const std::vector<fleet::store_record>& facts, removal_trust trust) {
                  m_applier.apply(facts, trust, base::monotonic_now());
                  m_relay->notify();
              },
              [this] { return peer_addresses(); }, [this] { return leader_address(); }),
          m_tick(m_context), m_stop_timer(m_context), m_signals(m_context, SIGTERM, SIGINT, SIGHUP) {}

    // Serves until a signal ends it. Throws boost::system::system_error when an address cannot be bound.
    void run() {
        open_listeners();
        m_store.start();
        wait_for_signal();
        tick();
        base::log(base::log_level::info, "started",
                  {{"gateway", m_settings.name},
                   {"domain", m_settings.failure_domain},
                   {"region", m_settings.region}});
        m_context.run();
        base::log(base::log_level::info, "stopped", {{"gateway", m_settings.name}});
    }

private:
    static boost::asio::ip::tcp::endpoint endpoint_of(const config::socket_address& address) {
        return {boost::asio::ip::make_address(address.host), address.port};
    }

    fleet::gateway_registration own_facts() const {
        return {m_settings.name, m_settings.failure_domain, m_settings.region,
                config::format_value(m_settings.caller_address),
                config::format_value(m_settings.peer_address)};
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
        m_callers = std::make_unique<session_listener>(
            executor, endpoint_of(m_settings.caller_address), m_settings.caller_connections,
            [this](http_request request, base::time_point arrived, answer_function answer) {
                return relay(std::move(request), arrived, std::move(answer));
            },
            limits);
        open_service(m_settings.readiness_address,
                     [this](const http_request& request) { return readiness(request); });
        open_service(m_settings.lookup_address,
                     [this](const http_request& request) { return lookup(request); });
        if (m_settings.metrics_address) {
            open_service(*m_settings.metrics_address, [this](const http_request&) { return metrics_page(); });
        }
        m_relay = std::make_unique<fact_relay_server>(executor, endpoint_of(m_settings.peer_address), m_facts,
                                                      [this] { return m_store.view(); });
    }

    // Answers from memory, in the next turn of the loop.
    void open_service(const config::socket_address& address,
                      std::function<http_response(const http_request&)> respond) {
        m_services.push_back(std::make_unique<session_listener>(
            m_context.get_executor(), endpoint_of(address), most_service_sessions,
            [this, respond = std::move(respond)](http_request request, base::time_point,
                                                 answer_function answer) {
                boost::asio::post(m_context, [respond, request = std::move(request),
                                              answer = std::move(answer)] { answer(respond(request)); });
                return cancel_function{};
            },
            [this] { return caller_limits(); }));
    }

    cancel_function relay(http_request request, base::time_point arrived, answer_function answer) {
        auto call =
            std::make_shared<relayed_call<Platform>>(m_state, std::move(request), arrived, std::move(answer));
        call->start();
        return [call] { call->cancel(); };
    }

    bool is_ready() const { return !m_stopping && m_state.routes() && m_state.servers.size() > 0; }

    http_response readiness(const http_request& request) const {
        if (!Platform::is_readiness(request.target())) {
            return http_response{http::status::not_found, 11};
        }
        return http_response{is_ready() ? http::status::ok : http::status::service_unavailable, 11};
    }

    http_response lookup(const http_request& request) {
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
        http_response answer{http::status::ok, 11};
        answer.set(http::field::content_type, "application/json");
        answer.body() = Platform::write_lookup(addresses, m_state.bounds.lookup_lifetime);
        return answer;
    }

    http_response metrics_page() const {
        http_response answer{http::status::ok, 11};
        answer.set(http::field::content_type, "text/plain; version=0.0.4");
        answer.body() = m_state.metrics.to_prometheus();
        return answer;
    }

    std::vector<boost::asio::ip::tcp::endpoint> peer_addresses() const {
        std::vector<boost::asio::ip::tcp::endpoint> addresses;
        for (const auto& [name, facts] : m_state.servers.gateways().all()) {
            const auto address = net::parse_endpoint(facts.peer_address);
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
        m_applier.settle(m_store.condition(), now);
        m_state.connections.sweep(now);
        for (const auto& server : m_state.servers.begin_due_probes(now)) {
            probe(server);
        }
        m_tick.expires_after(tick_interval);
        m_tick.async_wait([this](boost::system::error_code error) {
            if (!error) {
                tick();
            }
        });
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
        health_report marks;
        boost::beast::tcp_stream stream(m_context);
        stream.expires_after(probe_timeout);
        boost::system::error_code error;
        co_await stream.async_connect(address, redirect_error(use_awaitable, error));
        http_request request{http::verb::get, path, 11};
        request.set(http::field::host, server->registration.address);
        request.keep_alive(false);
        if (!error) {
            co_await http::async_write(stream, request, redirect_error(use_awaitable, error));
        }
        http_response answer;
        boost::beast::flat_buffer buffer;
        if (!error) {
            co_await http::async_read(stream, buffer, answer, redirect_error(use_awaitable, error));
        }
        if (!error) {
            marks = Platform::read_health(answer.result_int(), answer, server->registration.id);
        }
        m_state.servers.record_probe_result(*server, marks.verdict, marks.cold_left, base::monotonic_now());
        if (marks.verdict == placement::health_check_result::healthy) {
            base::log(
                base::log_level::info, "server-back",
                {{"server", server->registration.id}, {"cold_ms", base::to_milliseconds(marks.cold_left)}});
        }
    }

    void wait_for_signal() {
        m_signals.async_wait([this](boost::system::error_code error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                reload();
                wait_for_signal();
                return;
            }
            stop();
        });
    }

    void reload() {
        const auto fresh = m_reload();
        if (!fresh) {
            base::log(base::log_level::error, "settings-refused", {{"kept", "the settings in force"}});
            return;
        }
        base::set_log_level(fresh->log_level);
        auto comparable = *fresh;
        comparable.log_level = m_settings.log_level;
        base::log(base::log_level::info, "settings-reloaded",
                  {{"restart_needed", !(comparable == m_settings)}});
    }

    // Not ready at once; serves what callers still send, and ends when nothing is in progress or the grace is
    // over.
    void stop() {
        m_stopping = true;
        m_stop_began = base::monotonic_now();
        base::log(base::log_level::info, "stopping", {{"sessions", m_callers->size()}});
        m_store.withdraw();
        m_callers->stop_after_answers();
        check_stop();
    }

    void check_stop() {
        static constexpr base::duration check_interval = std::chrono::milliseconds{50};
        const auto since = base::monotonic_now() - m_stop_began;
        if (since >= accept_after_stop) {
            m_callers->close();
            m_callers->close_idle();
        }
        const bool done = since >= accept_after_stop && m_callers->size() == 0;
        if (done || since >= m_state.bounds.stop_grace - stop_margin) {
            m_context.stop();
            return;
        }
        m_stop_timer.expires_after(check_interval);
        m_stop_timer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                check_stop();
            }
        });
    }

    config::gateway_settings m_settings;
    reload_function m_reload;
    boost::asio::io_context m_context{1}; // one thread runs it
    relay_state m_state;
    fleet::store_replica m_facts;
    fact_applier<Platform> m_applier;
    store_session<Platform> m_store;
    std::unique_ptr<session_listener> m_callers;
    std::vector<std::unique_ptr<session_listener>> m_services;
    std::unique_ptr<fact_relay_server> m_relay;
    boost::asio::steady_timer m_tick;
    boost::asio::steady_timer m_stop_timer;
    boost::asio::signal_set m_signals;
    bool m_stopping = false;
    base::time_point m_stop_began{};
};

} // namespace carawayway::gateway

// Creates the parts of an entry instance and connects them.
#include "carawayway/entry/instance.hpp"

#include "carawayway/base/log.hpp"
#include "carawayway/entry/backend_client.hpp"
#include "carawayway/entry/caller_listener.hpp"
#include "carawayway/entry/operator_service.hpp"
#include "carawayway/entry/peer_adapter.hpp"
#include "carawayway/entry/steering_loop.hpp"
#include "carawayway/entry/store_watcher.hpp"
#include "carawayway/store/etcd_json_store.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <optional>
#include <random>
#include <semaphore>
#include <utility>

namespace carawayway::entry {

namespace {

constexpr std::size_t inbox_capacity_messages = 8192;
constexpr std::size_t maximum_series_per_metric_family = 2000;

std::uint64_t random_number() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

engine::control_settings to_control_settings(const config::instance_settings& settings) {
    engine::control_settings control;
    control.heartbeat_interval = settings.heartbeat_interval;
    control.ownership.term = settings.ownership_term;
    control.ownership.pause_limit = settings.pause_limit;
    control.ownership.revalidation_time = settings.revalidation_time;
    control.members.pause_limit = settings.pause_limit;
    return control;
}

std::string to_text(const config::socket_address& address) {
    return address.host + ":" + std::to_string(address.port);
}

store::etcd_json_options to_store_options(const config::instance_settings& settings) {
    store::etcd_json_options options;
    for (const auto& address : settings.platform_addresses) {
        options.addresses.push_back(to_text(address));
    }
    options.call_timeout = settings.platform_timeout;
    // Bounds how long a watch connection that was lost without being closed can delay a new policy. A policy
    // must be in force within a limited time.
    options.watch_lifetime = std::chrono::seconds(2);
    return options;
}

std::vector<std::byte> to_bytes(const std::string& text) {
    std::vector<std::byte> bytes;
    bytes.reserve(text.size());
    for (const char character : text) {
        bytes.push_back(static_cast<std::byte>(character));
    }
    return bytes;
}

} // namespace

class instance::implementation {
public:
    implementation(const config::instance_settings& settings, instance_secrets secrets)
        : m_settings(settings),
          m_secrets(std::move(secrets)), m_identity{settings.name, settings.failure_domain, settings.region,
                                                    random_number(), base::monotonic_now()} {}

    bool start(base::failure& last_failure) {
        try {
            m_caller_address = m_listener.listen(m_settings.caller_address);
        } catch (const boost::system::system_error& error) {
            last_failure = {base::error_kind::settings_invalid, "cannot listen on caller_address " +
                                                                    to_text(m_settings.caller_address) +
                                                                    ": " + error.code().message()};
            return false;
        }
        m_peers.emplace(m_peer_thread, network_settings(), configured_addresses(), m_peer_events);
        if (!m_peers->listen(last_failure) ||
            !m_operators.listen(m_settings.operator_address, last_failure)) {
            return false;
        }
        m_engine.emplace(m_identity, self_record(), to_control_settings(m_settings), engine_limits(),
                         random_number(), m_metrics, base::monotonic_now());
        for (const auto& seed : m_settings.seeds) {
            m_engine->add_seed(
                {seed.name, seed.failure_domain, seed.region, 0, seed.caller_address, seed.peer_address},
                base::monotonic_now());
        }
        m_steering.emplace(
            m_steering_thread, *m_engine, m_metrics,
            steering_outputs{m_caller_replies, m_backend_commands, m_peer_commands, m_control_replies});
        m_signals.async_wait([this](const boost::system::error_code& error, int) {
            if (!error) {
                send_control_event(stop_requested{});
            }
        });
        m_peers->start();
        m_steering->start();
        for (auto* thread :
             {&m_backend_thread, &m_peer_thread, &m_control_thread, &m_steering_thread, &m_caller_thread}) {
            thread->start();
        }
        base::log(base::log_level::info, "entry-started",
                  {{"entry", m_identity.name},
                   {"incarnation", fmt::format("{:016x}", m_identity.incarnation)},
                   {"callers", to_text(m_caller_address)},
                   {"peers", to_text(m_peers->listening_address())},
                   {"operators", to_text(m_operators.listening_address())}});
        return true;
    }

    void wait() {
        m_stopped.acquire();
        // The caller thread stops first and the steering thread last: no event may reach a thread that has
        // ended.
        for (auto* thread :
             {&m_caller_thread, &m_control_thread, &m_peer_thread, &m_backend_thread, &m_steering_thread}) {
            thread->stop();
        }
        base::log(base::log_level::info, "entry-stopped", {{"entry", m_identity.name}});
    }

    void request_stop() {
        boost::asio::post(m_control_thread.context(), [this] { send_control_event(stop_requested{}); });
    }

private:
    wire::member_record self_record() const {
        return {m_identity.name,        m_identity.failure_domain, m_identity.region,
                m_identity.incarnation, m_caller_address,          m_peers->listening_address()};
    }

    engine::engine_limits engine_limits() const {
        engine::engine_limits limits;
        limits.request_table = m_settings.request_table_limit;
        return limits;
    }

    peer_adapter::address_map configured_addresses() const {
        peer_adapter::address_map addresses;
        for (const auto& seed : m_settings.seeds) {
            addresses.emplace(seed.name, seed.peer_address);
        }
        return addresses;
    }

    peer::network_settings network_settings() const {
        peer::network_settings network;
        network.local.name = m_identity.name;
        network.local.failure_domain = m_identity.failure_domain;
        network.local.region = m_identity.region;
        network.local.incarnation = m_identity.incarnation;
        network.local.caller_address = m_caller_address;
        network.local.peer_address = m_settings.peer_address;
        network.deployment_key = to_bytes(m_secrets.deployment_key);
        network.seed = m_identity.incarnation;
        return network;
    }

    // Called on the control thread.
    void send_control_event(control_event event) { m_control_outbox.send(std::move(event)); }

    void handle_control_reply(control_reply reply) {
        m_control_outbox.flush();
        if (const auto* watch = std::get_if<engine::set_store_watch>(&reply)) {
            m_watcher.set_state(watch->state);
        } else if (std::holds_alternative<entry_stopped>(reply)) {
            boost::asio::post(m_caller_thread.context(),
                              [this] { m_listener.finish([this] { m_stopped.release(); }); });
        } else {
            m_operators.deliver(std::move(reply));
        }
    }

    // Called on the caller thread.
    bool submit(caller_event event) { return m_caller_events.push(event); }

    config::instance_settings m_settings;
    instance_secrets m_secrets;
    engine::engine_identity m_identity;
    config::socket_address m_caller_address;
    std::binary_semaphore m_stopped{0};

    event_loop_thread m_caller_thread{"caller"};
    event_loop_thread m_steering_thread{"steering"};
    event_loop_thread m_backend_thread{"backend"};
    event_loop_thread m_peer_thread{"peer"};
    event_loop_thread m_control_thread{"control"};

    // Messages to the steering thread.
    inbox<caller_event> m_caller_events{m_steering_thread, inbox_capacity_messages,
                                        [this](caller_event event) { m_steering->handle(std::move(event)); }};
    inbox<backend_event> m_backend_events{
        m_steering_thread, inbox_capacity_messages,
        [this](backend_event event) { m_steering->handle(std::move(event)); }};
    inbox<peer_event> m_peer_events{m_steering_thread, inbox_capacity_messages,
                                    [this](peer_event event) { m_steering->handle(std::move(event)); }};
    inbox<control_event> m_control_events{
        m_steering_thread, inbox_capacity_messages,
        [this](control_event event) { m_steering->handle(std::move(event)); }};
    // Messages from the steering thread to the others.
    inbox<caller_reply> m_caller_replies{
        m_caller_thread, inbox_capacity_messages,
        [this](caller_reply reply) { m_listener.deliver(std::move(reply)); }};
    inbox<backend_command> m_backend_commands{
        m_backend_thread, inbox_capacity_messages,
        [this](backend_command command) { m_backends.handle(std::move(command)); }};
    inbox<peer_command> m_peer_commands{m_peer_thread, inbox_capacity_messages, [this](peer_command command) {
                                            m_peers->handle(std::move(command));
                                        }};
    inbox<control_reply> m_control_replies{
        m_control_thread, inbox_capacity_messages,
        [this](control_reply reply) { handle_control_reply(std::move(reply)); }};

    metrics::metric_registry m_metrics{maximum_series_per_metric_family};
    std::optional<engine::entry_engine> m_engine;
    std::optional<steering_loop> m_steering;

    caller_listener m_listener{m_caller_thread.context(), m_settings,
                               [this](caller_event event) { return submit(std::move(event)); }};
    outbox<backend_event> m_backend_outbox{m_backend_events};
    backend_client m_backends{m_backend_thread.context(),
                              [this](backend_event event) { m_backend_outbox.send(std::move(event)); }};
    std::optional<peer_adapter> m_peers;

    outbox<control_event> m_control_outbox{m_control_events};
    store::etcd_json_store m_store{m_control_thread.context().get_executor(), to_store_options(m_settings)};
    store_watcher<store::etcd_json_store> m_watcher{
        m_control_thread.context(), m_store, m_settings,
        [this](control_event event) { send_control_event(std::move(event)); }};
    operator_service m_operators{m_control_thread.context(), m_store, m_settings, m_secrets.operator_token,
                                 [this](control_event event) { send_control_event(std::move(event)); }};
    boost::asio::signal_set m_signals{m_control_thread.context(), SIGTERM, SIGINT};
};

instance::instance(const config::instance_settings& settings, instance_secrets secrets)
    : m_implementation(std::make_unique<implementation>(settings, std::move(secrets))) {}

instance::~instance() = default;

bool instance::start(base::failure& last_failure) {
    return m_implementation->start(last_failure);
}

void instance::wait() {
    m_implementation->wait();
}

void instance::request_stop() {
    m_implementation->request_stop();
}

} // namespace carawayway::entry

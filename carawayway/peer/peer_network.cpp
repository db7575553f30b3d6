// Listener, connection attempts, and the choice between two links to the same peer.
#include "carawayway/peer/peer_network.hpp"

#include "carawayway/base/log.hpp"
#include "carawayway/peer/peer_link.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>

namespace carawayway::peer {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr base::duration accept_retry_delay = std::chrono::milliseconds(50); // after an error such as EMFILE

std::optional<tcp::endpoint> to_endpoint(const config::socket_address& address) {
    error_code error;
    const auto host = asio::ip::make_address(address.host, error);
    if (error) {
        return std::nullopt;
    }
    return tcp::endpoint(host, address.port);
}

std::optional<connect_failure> to_connect_failure(close_reason reason) {
    switch (reason) {
    case close_reason::connect_refused:
        return connect_failure::refused;
    case close_reason::connect_timed_out:
        return connect_failure::timed_out;
    case close_reason::handshake_silent:
        return connect_failure::handshake_timed_out;
    default:
        return std::nullopt;
    }
}

} // namespace

class peer_network::implementation : public std::enable_shared_from_this<implementation> {
public:
    using link_pointer = std::shared_ptr<peer_link>;

    implementation(asio::any_io_executor executor, network_settings settings, network_events events)
        : m_executor(std::move(executor)), m_settings(std::move(settings)), m_events(std::move(events)),
          m_context(
              std::make_shared<link_context>(link_context{m_settings.local,
                                                          wire::link_authenticator(m_settings.deployment_key),
                                                          m_settings.limits,
                                                          0,
                                                          {},
                                                          1})),
          m_acceptor(m_executor), m_accept_timer(m_executor), m_random(m_settings.seed) {}

    bool listen(base::failure& last_failure);
    config::socket_address listening_address() const;
    void set_peers(const std::vector<peer_target>& peers);
    send_result send(std::string_view name, const wire::peer_message& message);
    void close(std::string_view name, std::string detail);
    void stop();

    std::vector<std::string> linked_peers() const;
    bool linked(std::string_view name) const { return m_links.contains(name); }
    link_context& context() { return *m_context; }

private:
    struct target {
        explicit target(const asio::any_io_executor& executor) : timer(executor) {}

        config::socket_address address;
        asio::steady_timer timer; // until the next attempt
        link_pointer dialing;
        base::duration backoff{};
    };

    peer_link::callbacks link_callbacks();
    void accept_next();
    void accepted(tcp::socket connection);
    void remove_target(const std::string& name);
    void dial(const std::string& name);
    void schedule_dial(const std::string& name);
    void on_established(const link_pointer& link);
    void on_message(const link_pointer& link, wire::received_message&& message);
    void on_closed(const link_pointer& link, const link_loss& loss);
    void attempt_failed(const link_pointer& link, const link_loss& loss);
    bool keeps_existing(const peer_link& existing, const peer_link& fresh) const;
    bool peer_lost_link(const peer_link& existing, const peer_link& fresh) const;
    const std::string& initiator_of(const peer_link& link) const;
    void replace_lost_link(const link_pointer& existing, const link_pointer& fresh);

    asio::any_io_executor m_executor;
    network_settings m_settings;
    network_events m_events;
    std::shared_ptr<link_context> m_context;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_accept_timer;
    std::mt19937_64 m_random;
    std::map<std::string, std::shared_ptr<target>, std::less<>> m_targets;
    std::map<std::string, link_pointer, std::less<>> m_links; // one established link per peer
    std::set<link_pointer> m_transient_links;                 // inbound and authenticating, or retiring
    bool m_stopped = false;
};

bool peer_network::implementation::listen(base::failure& last_failure) {
    const auto address = to_endpoint(m_settings.local.peer_address);
    if (!address.has_value()) {
        last_failure = {
            base::error_kind::settings_invalid,
            fmt::format("peer_address is not an IP address: {}", m_settings.local.peer_address.host)};
        return false;
    }
    error_code error;
    m_acceptor.open(address->protocol(), error);
    if (!error) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        m_acceptor.bind(*address, error);
    }
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        last_failure = {base::error_kind::settings_invalid,
                        fmt::format("cannot listen on peer_address {}:{}: {}", address->address().to_string(),
                                    address->port(), error.message())};
        return false;
    }
    m_context->local.peer_address = listening_address();
    accept_next();
    return true;
}

config::socket_address peer_network::implementation::listening_address() const {
    error_code error;
    const auto address = m_acceptor.local_endpoint(error);
    if (error) {
        return {};
    }
    return {address.address().to_string(), address.port()};
}

peer_link::callbacks peer_network::implementation::link_callbacks() {
    const std::weak_ptr<implementation> weak = weak_from_this();
    return {
        [weak](const link_pointer& link) {
            if (const auto self = weak.lock(); self != nullptr && !self->m_stopped) {
                self->on_established(link);
            }
        },
        [weak](const link_pointer& link, wire::received_message&& message) {
            if (const auto self = weak.lock(); self != nullptr && !self->m_stopped) {
                self->on_message(link, std::move(message));
            }
        },
        [weak](const link_pointer& link, const link_loss& loss) {
            if (const auto self = weak.lock(); self != nullptr && !self->m_stopped) {
                self->on_closed(link, loss);
            }
        },
    };
}

void peer_network::implementation::accept_next() {
    m_acceptor.async_accept([weak = weak_from_this()](const error_code& error, tcp::socket connection) {
        const auto self = weak.lock();
        if (self == nullptr || self->m_stopped) {
            return;
        }
        if (!error) {
            self->accepted(std::move(connection));
            self->accept_next();
            return;
        }
        self->m_accept_timer.expires_after(accept_retry_delay);
        self->m_accept_timer.async_wait([weak](const error_code& cancelled) {
            const auto retrying = weak.lock();
            if (!cancelled && retrying != nullptr && !retrying->m_stopped) {
                retrying->accept_next();
            }
        });
    });
}

void peer_network::implementation::accepted(tcp::socket connection) {
    if (m_transient_links.size() >= m_settings.transient_link_limit) {
        base::log(base::log_level::warning, "peer_connection_refused",
                  {{"reason", "too many unauthenticated connections"}});
        return;
    }
    m_transient_links.insert(peer_link::accept(std::move(connection), m_context, link_callbacks()));
}

void peer_network::implementation::set_peers(const std::vector<peer_target>& peers) {
    std::set<std::string, std::less<>> wanted;
    for (const auto& peer : peers) {
        if (peer.name == m_settings.local.name) {
            continue;
        }
        wanted.insert(peer.name);
        auto& entry = m_targets[peer.name];
        const bool known = entry != nullptr;
        if (!known) {
            entry = std::make_shared<target>(m_executor);
        }
        entry->address = peer.address;
        if (!known) {
            dial(peer.name);
        }
    }
    std::vector<std::string> removed;
    for (const auto& [name, entry] : m_targets) {
        if (!wanted.contains(name)) {
            removed.push_back(name);
        }
    }
    for (const auto& name : removed) {
        remove_target(name);
    }
}

// Closes the link if this side initiated it. The peer connects again if it needs a link.
void peer_network::implementation::remove_target(const std::string& name) {
    const auto entry = m_targets.at(name);
    m_targets.erase(name);
    entry->timer.cancel();
    if (entry->dialing != nullptr) {
        entry->dialing->close(close_reason::closed_locally, "link is no longer needed");
    }
    const auto link = m_links.find(name);
    if (link != m_links.end() && link->second->side() == wire::link_side::initiator) {
        link->second->close(close_reason::closed_locally, "link is no longer needed");
    }
}

void peer_network::implementation::dial(const std::string& name) {
    const auto found = m_targets.find(name);
    if (found == m_targets.end() || found->second->dialing != nullptr || m_links.contains(name)) {
        return;
    }
    const auto address = to_endpoint(found->second->address);
    if (!address.has_value()) {
        base::log(base::log_level::warning, "peer_address_invalid",
                  {{"peer", name}, {"address", found->second->address.host}});
        return;
    }
    found->second->dialing = peer_link::connect(m_executor, m_context, *address, name, link_callbacks());
}

void peer_network::implementation::schedule_dial(const std::string& name) {
    const auto found = m_targets.find(name);
    if (found == m_targets.end()) {
        return;
    }
    target& entry = *found->second;
    entry.backoff = std::clamp(entry.backoff * 2, m_settings.retry_minimum, m_settings.retry_maximum);
    std::uniform_real_distribution<double> jitter(1.0 - m_settings.retry_jitter, 1.0);
    entry.timer.expires_after(std::chrono::duration_cast<base::duration>(entry.backoff * jitter(m_random)));
    entry.timer.async_wait([weak = weak_from_this(), name](const error_code& error) {
        const auto self = weak.lock();
        if (!error && self != nullptr && !self->m_stopped) {
            self->dial(name);
        }
    });
}

const std::string& peer_network::implementation::initiator_of(const peer_link& link) const {
    return link.side() == wire::link_side::initiator ? m_settings.local.name : link.remote().name;
}

// A peer connects only while it has no link to this process. So the peer has lost the existing link, unless
// both sides connected at about the same time.
bool peer_network::implementation::peer_lost_link(const peer_link& existing, const peer_link& fresh) const {
    return existing.state() == link_state::closed ||
           existing.remote().incarnation != fresh.remote().incarnation ||
           initiator_of(existing) == initiator_of(fresh) ||
           fresh.established_at() - existing.established_at() > m_settings.limits.handshake_timeout;
}

// After simultaneous connects, both sides keep the link whose initiator has the smaller name.
bool peer_network::implementation::keeps_existing(const peer_link& existing, const peer_link& fresh) const {
    return initiator_of(existing) < initiator_of(fresh);
}

// The events are reported before any message of the fresh link.
void peer_network::implementation::replace_lost_link(const link_pointer& existing,
                                                     const link_pointer& fresh) {
    const std::string name = fresh->remote().name;
    m_links[name] = fresh;
    existing->close(close_reason::superseded, "the peer connected again");
    m_events.link_down(name, {existing->identifier(), close_reason::superseded, "the peer connected again",
                              existing->first_unsent()});
    m_events.link_up(name, fresh->remote());
}

void peer_network::implementation::on_established(const link_pointer& link) {
    const std::string name = link->remote().name;
    m_transient_links.erase(link);
    const auto entry = m_targets.find(name);
    if (entry != m_targets.end()) {
        entry->second->timer.cancel();
        if (entry->second->dialing == link) {
            entry->second->dialing.reset();
        }
    }
    const auto found = m_links.find(name);
    if (found == m_links.end()) {
        m_links.emplace(name, link);
        m_events.link_up(name, link->remote());
        return;
    }
    const link_pointer existing = found->second;
    if (peer_lost_link(*existing, *link)) {
        replace_lost_link(existing, link);
        return;
    }
    const link_pointer& retired = keeps_existing(*existing, *link) ? link : existing;
    found->second = retired == link ? existing : link;
    m_transient_links.insert(retired);
    retired->retire();
}

void peer_network::implementation::on_message(const link_pointer& link, wire::received_message&& message) {
    m_events.message(link->remote().name, std::move(message));
}

void peer_network::implementation::on_closed(const link_pointer& link, const link_loss& loss) {
    const bool transient = m_transient_links.erase(link) > 0;
    const std::string name = link->remote().name;
    const auto current = m_links.find(name);
    if (current != m_links.end() && current->second == link) {
        const bool short_lived = base::monotonic_now() - link->established_at() < m_settings.retry_maximum;
        m_links.erase(current);
        base::log(base::log_level::info, "peer_link_down",
                  {{"peer", name}, {"reason", to_string(loss.reason)}, {"detail", loss.detail}});
        m_events.link_down(name, loss);
        const auto entry = m_targets.find(name);
        if (entry != m_targets.end()) {
            entry->second->backoff = short_lived ? entry->second->backoff : base::duration{};
            schedule_dial(name);
        }
        return;
    }
    if (transient) {
        if (loss.reason == close_reason::malformed || loss.reason == close_reason::handshake_refused) {
            base::log(base::log_level::warning, "peer_connection_refused",
                      {{"peer", name}, {"reason", to_string(loss.reason)}, {"detail", loss.detail}});
        }
        return;
    }
    attempt_failed(link, loss);
}

void peer_network::implementation::attempt_failed(const link_pointer& link, const link_loss& loss) {
    const auto entry = std::find_if(m_targets.begin(), m_targets.end(),
                                    [&link](const auto& item) { return item.second->dialing == link; });
    if (entry == m_targets.end()) {
        return;
    }
    const std::string name = entry->first;
    entry->second->dialing.reset();
    schedule_dial(name);
    if (loss.reason == close_reason::handshake_refused || loss.reason == close_reason::malformed) {
        base::log(base::log_level::warning, "peer_handshake_failed",
                  {{"peer", name}, {"reason", to_string(loss.reason)}, {"detail", loss.detail}});
    }
    const auto failure = to_connect_failure(loss.reason);
    if (failure.has_value()) {
        m_events.connect_failed(name, *failure);
    }
}

send_result peer_network::implementation::send(std::string_view name, const wire::peer_message& message) {
    const auto found = m_links.find(name);
    if (found == m_links.end()) {
        return {};
    }
    return found->second->send(message);
}

std::vector<std::string> peer_network::implementation::linked_peers() const {
    std::vector<std::string> names;
    names.reserve(m_links.size());
    for (const auto& [name, link] : m_links) {
        names.push_back(name);
    }
    return names;
}

void peer_network::implementation::close(std::string_view name, std::string detail) {
    const auto found = m_links.find(name);
    if (found != m_links.end()) {
        found->second->close(close_reason::closed_locally, std::move(detail));
    }
}

void peer_network::implementation::stop() {
    if (m_stopped) {
        return;
    }
    m_stopped = true;
    error_code ignored;
    m_acceptor.close(ignored);
    m_accept_timer.cancel();
    for (const auto& [name, entry] : m_targets) {
        entry->timer.cancel();
        if (entry->dialing != nullptr) {
            entry->dialing->close(close_reason::closed_locally, "entry instance is stopping");
        }
    }
    for (const auto& [name, link] : m_links) {
        link->close(close_reason::closed_locally, "entry instance is stopping");
    }
    for (const auto& link : m_transient_links) {
        link->close(close_reason::closed_locally, "entry instance is stopping");
    }
    m_targets.clear();
    m_links.clear();
    m_transient_links.clear();
}

// ---- public interface ----

peer_network::peer_network(asio::any_io_executor executor, network_settings settings, network_events events)
    : m_implementation(
          std::make_shared<implementation>(std::move(executor), std::move(settings), std::move(events))) {}

peer_network::~peer_network() {
    m_implementation->stop();
}

bool peer_network::listen(base::failure& last_failure) {
    return m_implementation->listen(last_failure);
}

config::socket_address peer_network::listening_address() const {
    return m_implementation->listening_address();
}

void peer_network::set_peers(const std::vector<peer_target>& peers) {
    m_implementation->set_peers(peers);
}

send_result peer_network::send(std::string_view name, const wire::peer_message& message) {
    return m_implementation->send(name, message);
}

std::vector<std::string> peer_network::linked_peers() const {
    return m_implementation->linked_peers();
}

bool peer_network::linked(std::string_view name) const {
    return m_implementation->linked(name);
}

void peer_network::set_policy_revision(std::int64_t revision) {
    m_implementation->context().policy_revision = revision;
}

void peer_network::close(std::string_view name, std::string detail) {
    m_implementation->close(name, std::move(detail));
}

void peer_network::stop() {
    m_implementation->stop();
}

const traffic_counters& peer_network::traffic() const {
    return m_implementation->context().traffic;
}

} // namespace carawayway::peer

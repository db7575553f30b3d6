// Relays the connections of one route and applies its injected faults.
#include "stand_ins/link/relay_route.hpp"

#include "stand_ins/support/address.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <stdexcept>
#include <utility>
#include <vector>

namespace stand_ins {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using carawayway::base::monotonic_now;

namespace {

// Interval between connection attempts to a target that refused a connection.
constexpr std::chrono::milliseconds probe_interval{50};
constexpr int directions = 2;

} // namespace

struct relay_route::session {
    session(tcp::socket accepted, direction_state& target_direction, direction_state& source_direction)
        : source(std::move(accepted)), target(source.get_executor()),
          to_target(source.get_executor(), target_direction),
          to_source(source.get_executor(), source_direction) {}

    tcp::socket source;
    tcp::socket target;
    relay_pipe to_target;
    relay_pipe to_source;
    int ended_directions = 0;
};

relay_route::relay_route(asio::any_io_executor executor, route_spec spec)
    : m_executor(std::move(executor)), m_spec(std::move(spec)),
      m_acceptor(open_listener(m_executor, m_spec.listen)), m_to_target{m_spec.delay}, m_to_source{
                                                                                           m_spec.delay} {
    m_spec.listen = m_acceptor.local_endpoint();
}

void relay_route::start() {
    asio::co_spawn(m_executor, accept(shared_from_this()), asio::detached);
}

asio::awaitable<void> relay_route::accept(std::shared_ptr<relay_route> self) {
    const std::uint64_t generation = self->m_listener_generation;
    while (generation == self->m_listener_generation) {
        boost::system::error_code error;
        tcp::socket socket =
            co_await self->m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            continue;
        }
        if (generation != self->m_listener_generation) {
            reset_connection(socket);
            co_return;
        }
        ++self->m_accepted;
        socket.set_option(tcp::no_delay(true), error);
        auto relayed = std::make_shared<session>(std::move(socket), self->m_to_target, self->m_to_source);
        self->m_sessions.insert(relayed);
        asio::co_spawn(self->m_executor, serve(self, relayed), asio::detached);
    }
}

asio::awaitable<void> relay_route::serve(std::shared_ptr<relay_route> self, session_pointer relayed) {
    asio::co_spawn(self->m_executor, read_from_source(relayed), asio::detached);
    co_await relayed->to_target.wait_for_delivery_time(monotonic_now());
    if (!self->m_sessions.contains(relayed)) {
        co_return;
    }
    boost::system::error_code error;
    co_await relayed->target.async_connect(self->m_spec.target,
                                           asio::redirect_error(asio::use_awaitable, error));
    if (error || !self->m_sessions.contains(relayed)) {
        // The listener is closed before the connection is reset, so that a client which has seen the reset is
        // refused when it reconnects.
        self->m_target_refuses = self->m_target_refuses || error == asio::error::connection_refused;
        self->apply_faults();
        self->reset_session(relayed);
        co_return;
    }
    relayed->target.set_option(tcp::no_delay(true), error);
    asio::co_spawn(self->m_executor, write_to_target(self, relayed), asio::detached);
    asio::co_spawn(self->m_executor, read_from_target(relayed), asio::detached);
    asio::co_spawn(self->m_executor, write_to_source(self, relayed), asio::detached);
}

asio::awaitable<void> relay_route::read_from_source(session_pointer relayed) {
    co_await relayed->to_target.read_from(relayed->source);
}

asio::awaitable<void> relay_route::read_from_target(session_pointer relayed) {
    co_await relayed->to_source.read_from(relayed->target);
}

asio::awaitable<void> relay_route::write_to_target(std::shared_ptr<relay_route> self,
                                                   session_pointer relayed) {
    const bool orderly = co_await relayed->to_target.write_to(relayed->target);
    self->end_direction(relayed, orderly);
}

asio::awaitable<void> relay_route::write_to_source(std::shared_ptr<relay_route> self,
                                                   session_pointer relayed) {
    const bool orderly = co_await relayed->to_source.write_to(relayed->source);
    self->end_direction(relayed, orderly);
}

void relay_route::end_direction(const session_pointer& relayed, bool orderly) {
    if (!orderly) {
        reset_session(relayed);
        return;
    }
    if (++relayed->ended_directions == directions) {
        m_sessions.erase(relayed);
        boost::system::error_code ignored;
        relayed->source.close(ignored);
        relayed->target.close(ignored);
    }
}

void relay_route::reset_session(const session_pointer& relayed) {
    m_sessions.erase(relayed);
    relayed->to_target.abort();
    relayed->to_source.abort();
    reset_connection(relayed->source);
    reset_connection(relayed->target);
}

void relay_route::reset_all_sessions() {
    const std::vector<session_pointer> sessions(m_sessions.begin(), m_sessions.end());
    for (const session_pointer& relayed : sessions) {
        reset_session(relayed);
    }
}

// Retries connecting until the target no longer refuses, then reopens the listener.
asio::awaitable<void> relay_route::probe_target(std::shared_ptr<relay_route> self) {
    carawayway::net::timer timer(self->m_executor);
    while (self->m_target_refuses) {
        boost::system::error_code error;
        timer.expires_after(probe_interval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        tcp::socket socket(self->m_executor);
        co_await socket.async_connect(self->m_spec.target, asio::redirect_error(asio::use_awaitable, error));
        self->m_target_refuses = error == asio::error::connection_refused;
    }
    self->m_probing = false;
    self->apply_faults();
}

// Sets the listener and both directions to the state that follows from the injected faults and from whether
// the target refuses connections.
void relay_route::apply_faults() {
    m_to_target.stalled = m_stall_to_target || m_unreachable;
    m_to_source.stalled = m_stall_to_source || m_unreachable;
    for (const session_pointer& relayed : m_sessions) {
        relayed->to_target.notify_direction_changed();
        relayed->to_source.notify_direction_changed();
    }
    if (m_cut) {
        reset_all_sessions();
        set_reachability(reachability::refused);
    } else if (m_unreachable) {
        set_reachability(reachability::unreachable);
    } else if (m_refuse_new || (m_target_refuses && m_mirror_refusal && !m_to_target.stalled)) {
        set_reachability(reachability::refused);
    } else {
        set_reachability(reachability::open);
    }
    if (m_target_refuses && !m_probing) {
        m_probing = true;
        asio::co_spawn(m_executor, probe_target(shared_from_this()), asio::detached);
    }
}

void relay_route::set_reachability(reachability new_state) {
    if (new_state == m_reachability) {
        return;
    }
    m_reachability = new_state;
    ++m_listener_generation;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_queue_filler.reset();
    if (new_state == reachability::open) {
        m_acceptor = open_listener(m_executor, m_spec.listen);
        start();
    } else if (new_state == reachability::unreachable) {
        m_acceptor = open_listener(m_executor, m_spec.listen);
        fill_accept_queue();
    }
}

// Makes the listener unreachable: Linux drops connection attempts while the accept queue is full, and a queue
// with backlog 0 holds one connection.
void relay_route::fill_accept_queue() {
    m_acceptor.listen(0);
    m_queue_filler.emplace(m_executor);
    m_queue_filler->connect(m_spec.listen);
}

void relay_route::command(const json::object& message) {
    for (const auto& [key, value] : message) {
        if (key == "route") {
            continue;
        }
        if (key == "delay_ms" || key == "delay_to_target_ms" || key == "delay_to_source_ms") {
            const auto delay = std::chrono::duration_cast<carawayway::base::duration>(
                std::chrono::duration<double, std::milli>(value.to_number<double>()));
            m_to_target.delay = key == "delay_to_source_ms" ? m_to_target.delay : delay;
            m_to_source.delay = key == "delay_to_target_ms" ? m_to_source.delay : delay;
        } else if (key == "cut") {
            m_cut = value.as_bool();
        } else if (key == "unreachable") {
            m_unreachable = value.as_bool();
        } else if (key == "refuse_new") {
            m_refuse_new = value.as_bool();
        } else if (key == "mirror_refusal") {
            m_mirror_refusal = value.as_bool();
        } else if (key == "stall") {
            const json::string& mode = value.as_string();
            if (mode != "none" && mode != "both" && mode != "to_target" && mode != "to_source") {
                throw std::invalid_argument("stall takes none, both, to_target or to_source");
            }
            m_stall_to_target = mode == "both" || mode == "to_target";
            m_stall_to_source = mode == "both" || mode == "to_source";
        } else {
            throw std::invalid_argument("unknown control field: " + std::string(key));
        }
    }
    apply_faults();
}

json::object relay_route::statistics() const {
    return {{"listen", to_address(m_spec.listen)},
            {"target", to_address(m_spec.target)},
            {"connections", m_sessions.size()},
            {"accepted", m_accepted},
            {"bytes_to_target", m_to_target.delivered_bytes},
            {"bytes_to_source", m_to_source.delivered_bytes}};
}

} // namespace stand_ins

// Relaying and faults of one route.
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

// Time between attempts to reach a target that refused.
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
    asio::co_spawn(self->m_executor, fill_to_target(relayed), asio::detached);
    co_await relayed->to_target.wait_until_passable(monotonic_now());
    if (!self->m_sessions.contains(relayed)) {
        co_return;
    }
    boost::system::error_code error;
    co_await relayed->target.async_connect(self->m_spec.target,
                                           asio::redirect_error(asio::use_awaitable, error));
    if (error || !self->m_sessions.contains(relayed)) {
        // The listener closes before the reset, so that a client that saw the reset meets a refusal.
        self->m_target_refuses = self->m_target_refuses || error == asio::error::connection_refused;
        self->update_faults();
        self->drop(relayed);
        co_return;
    }
    relayed->target.set_option(tcp::no_delay(true), error);
    asio::co_spawn(self->m_executor, drain_to_target(self, relayed), asio::detached);
    asio::co_spawn(self->m_executor, fill_to_source(relayed), asio::detached);
    asio::co_spawn(self->m_executor, drain_to_source(self, relayed), asio::detached);
}

asio::awaitable<void> relay_route::fill_to_target(session_pointer relayed) {
    co_await relayed->to_target.fill_from(relayed->source);
}

asio::awaitable<void> relay_route::fill_to_source(session_pointer relayed) {
    co_await relayed->to_source.fill_from(relayed->target);
}

asio::awaitable<void> relay_route::drain_to_target(std::shared_ptr<relay_route> self,
                                                   session_pointer relayed) {
    const bool orderly = co_await relayed->to_target.drain_into(relayed->target);
    self->end_direction(relayed, orderly);
}

asio::awaitable<void> relay_route::drain_to_source(std::shared_ptr<relay_route> self,
                                                   session_pointer relayed) {
    const bool orderly = co_await relayed->to_source.drain_into(relayed->source);
    self->end_direction(relayed, orderly);
}

void relay_route::end_direction(const session_pointer& relayed, bool orderly) {
    if (!orderly) {
        drop(relayed);
        return;
    }
    if (++relayed->ended_directions == directions) {
        m_sessions.erase(relayed);
        boost::system::error_code ignored;
        relayed->source.close(ignored);
        relayed->target.close(ignored);
    }
}

void relay_route::drop(const session_pointer& relayed) {
    m_sessions.erase(relayed);
    relayed->to_target.abandon();
    relayed->to_source.abandon();
    reset_connection(relayed->source);
    reset_connection(relayed->target);
}

void relay_route::drop_all() {
    const std::vector<session_pointer> sessions(m_sessions.begin(), m_sessions.end());
    for (const session_pointer& relayed : sessions) {
        drop(relayed);
    }
}

// While the target refuses, tries it again and again, and opens the listener when it answers.
asio::awaitable<void> relay_route::probe_target(std::shared_ptr<relay_route> self) {
    asio::steady_timer timer(self->m_executor);
    while (self->m_target_refuses) {
        boost::system::error_code error;
        timer.expires_after(probe_interval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        tcp::socket socket(self->m_executor);
        co_await socket.async_connect(self->m_spec.target, asio::redirect_error(asio::use_awaitable, error));
        self->m_target_refuses = error == asio::error::connection_refused;
    }
    self->m_probing = false;
    self->update_faults();
}

// Brings the listener and the directions into the state that the commands and the target ask for.
void relay_route::update_faults() {
    m_to_target.stalled = m_stall_to_target || m_unreachable;
    m_to_source.stalled = m_stall_to_source || m_unreachable;
    for (const session_pointer& relayed : m_sessions) {
        relayed->to_target.wake();
        relayed->to_source.wake();
    }
    if (m_cut) {
        drop_all();
        set_reachability(reachability::refused);
    } else if (m_unreachable) {
        set_reachability(reachability::unreachable);
    } else if (m_target_refuses && m_mirror_refusal && !m_to_target.stalled) {
        set_reachability(reachability::refused);
    } else {
        set_reachability(reachability::open);
    }
    if (m_target_refuses && !m_probing) {
        m_probing = true;
        asio::co_spawn(m_executor, probe_target(shared_from_this()), asio::detached);
    }
}

void relay_route::set_reachability(reachability wanted) {
    if (wanted == m_reachability) {
        return;
    }
    m_reachability = wanted;
    ++m_listener_generation;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_queue_filler.reset();
    if (wanted == reachability::open) {
        m_acceptor = open_listener(m_executor, m_spec.listen);
        start();
    } else if (wanted == reachability::unreachable) {
        m_acceptor = open_listener(m_executor, m_spec.listen);
        fill_accept_queue();
    }
}

// Linux drops connection attempts at a listener whose queue is full. A queue of length 0 holds one
// connection.
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
            throw std::invalid_argument("unknown control: " + std::string(key));
        }
    }
    update_faults();
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

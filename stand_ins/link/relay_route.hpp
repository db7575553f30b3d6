// One relayed route: its listener, its connections and its commanded faults. Private to this folder.
#pragma once

#include "stand_ins/link/relay_pipe.hpp"
#include "stand_ins/link/route_spec.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>

namespace stand_ins {

// Every function runs on the executor, which has one thread.
class relay_route : public std::enable_shared_from_this<relay_route> {
public:
    // Opens the port; throws boost::system::system_error when it cannot.
    relay_route(boost::asio::any_io_executor executor, route_spec spec);

    void start();                                     // begins to accept
    const route_spec& spec() const { return m_spec; } // with the port that was taken

    // Carries out the fields of a control message, apart from "route". Throws std::exception.
    void command(const boost::json::object& message);
    boost::json::object statistics() const;

private:
    struct session;
    using session_pointer = std::shared_ptr<session>;

    // What a connection attempt at the listener meets.
    enum class reachability : std::uint8_t {
        open,
        refused,     // the listener is closed
        unreachable, // the listener's queue is full: attempts get no answer
    };

    static boost::asio::awaitable<void> accept(std::shared_ptr<relay_route> self);
    static boost::asio::awaitable<void> serve(std::shared_ptr<relay_route> self, session_pointer relayed);
    static boost::asio::awaitable<void> fill_to_source(session_pointer relayed);
    static boost::asio::awaitable<void> fill_to_target(session_pointer relayed);
    static boost::asio::awaitable<void> drain_to_source(std::shared_ptr<relay_route> self,
                                                        session_pointer relayed);
    static boost::asio::awaitable<void> drain_to_target(std::shared_ptr<relay_route> self,
                                                        session_pointer relayed);
    static boost::asio::awaitable<void> probe_target(std::shared_ptr<relay_route> self);

    void end_direction(const session_pointer& relayed, bool orderly);
    void drop(const session_pointer& relayed);
    void drop_all();
    void set_reachability(reachability wanted);
    void fill_accept_queue();
    void update_faults();

    boost::asio::any_io_executor m_executor;
    route_spec m_spec;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::optional<boost::asio::ip::tcp::socket>
        m_queue_filler; // occupies the listener's queue while unreachable
    std::set<session_pointer> m_sessions;
    direction_state m_to_target;
    direction_state m_to_source;
    reachability m_reachability = reachability::open;
    std::uint64_t m_listener_generation = 0; // ends the loops of an earlier listener
    std::uint64_t m_accepted = 0;
    bool m_cut = false;
    bool m_unreachable = false;
    bool m_target_refuses = false; // the target's last answer to a connection attempt
    bool m_probing = false;        // probe_target() runs
    bool m_mirror_refusal = true;  // a refusing target makes the listener refuse
    bool m_stall_to_target = false;
    bool m_stall_to_source = false;
};

} // namespace stand_ins

// One relayed route with its listener, connections and injected faults. Internal to this folder.
#pragma once

#include "carawayway/net/timer.hpp"
#include "stand_ins/link/relay_pipe.hpp"
#include "stand_ins/link/route_spec.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>

namespace stand_ins {

// All functions must run on the executor, which has one thread.
class relay_route : public std::enable_shared_from_this<relay_route> {
public:
    // Opens the port. Throws boost::system::system_error on failure.
    relay_route(boost::asio::any_io_executor executor, route_spec spec);

    void start();                                     // starts to accept connections
    const route_spec& spec() const { return m_spec; } // contains the actual port

    // Applies the fields of a control message, except "route". Throws std::exception for an invalid field.
    void command(const boost::json::object& message);
    boost::json::object statistics() const;

private:
    struct session;
    using session_pointer = std::shared_ptr<session>;

    // How the listener responds to connection attempts.
    enum class reachability : std::uint8_t {
        open,
        refused,     // the listener is closed
        unreachable, // the accept queue is full: attempts get no answer
    };

    static boost::asio::awaitable<void> accept(std::shared_ptr<relay_route> self);
    static boost::asio::awaitable<void> serve(std::shared_ptr<relay_route> self, session_pointer relayed);
    static boost::asio::awaitable<void> read_from_target(session_pointer relayed);
    static boost::asio::awaitable<void> read_from_source(session_pointer relayed);
    static boost::asio::awaitable<void> write_to_source(std::shared_ptr<relay_route> self,
                                                        session_pointer relayed);
    static boost::asio::awaitable<void> write_to_target(std::shared_ptr<relay_route> self,
                                                        session_pointer relayed);
    static boost::asio::awaitable<void> probe_target(std::shared_ptr<relay_route> self);

    void end_direction(const session_pointer& relayed, bool orderly);
    void reset_session(const session_pointer& relayed);
    void reset_all_sessions();
    void set_reachability(reachability new_state);
    void fill_accept_queue();
    void apply_faults();

    boost::asio::any_io_executor m_executor;
    route_spec m_spec;
    boost::asio::ip::tcp::acceptor m_acceptor;
    // Connection that fills the accept queue while the route is unreachable.
    std::optional<boost::asio::ip::tcp::socket> m_queue_filler;
    std::set<session_pointer> m_sessions;
    direction_state m_to_target;
    direction_state m_to_source;
    reachability m_reachability = reachability::open;
    std::uint64_t m_listener_generation = 0; // accept loops of earlier generations end
    std::uint64_t m_accepted = 0;
    bool m_cut = false;
    bool m_unreachable = false;
    bool m_refuse_new = false;     // connections that are open live on
    bool m_target_refuses = false; // whether the target refused the last connection attempt
    bool m_probing = false;        // whether probe_target() is running
    bool m_mirror_refusal = true;  // refuse connections while the target refuses them
    bool m_stall_to_target = false;
    bool m_stall_to_source = false;
};

} // namespace stand_ins

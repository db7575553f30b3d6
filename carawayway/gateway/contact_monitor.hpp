// Finds out whether this gateway is partitioned from the backend servers, by connections that requests and
// checks open.
#pragma once

#include "carawayway/gateway/server_liveness.hpp"
#include "carawayway/placement/round_trip_estimator.hpp"
#include "carawayway/placement/server_contact.hpp"
#include "carawayway/placement/server_table.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <vector>

namespace carawayway::gateway {

class contact_monitor {
public:
    // Servers to which a check opens connections.
    static constexpr std::size_t servers_per_check = 3;

    // Runs when contact is lost, with the time at which the failures began.
    using loss_handler = std::function<void(base::time_point)>;

    // `servers` and `round_trips` must outlive the monitor, and the monitor all work of the executor.
    contact_monitor(boost::asio::any_io_executor executor, const placement::server_table& servers,
                    const placement::round_trip_estimator& round_trips, loss_handler on_loss)
        : m_executor(std::move(executor)), m_servers(servers), m_round_trips(round_trips),
          m_on_loss(std::move(on_loss)) {}

    bool is_lost() const { return m_contact.is_lost(); }

    // Records a server that refused a connection or did not answer.
    void record_failure(const placement::server_state& server, base::time_point now);
    // Records a connection to a server that was opened.
    void record_connection(base::time_point now);

    // Starts a check if one is due. Called regularly, since contact returns without a request.
    void start_due_check(base::time_point now);

    // Whether any server but this one takes connections now; true also if none is known, so that nothing can
    // be told.
    boost::asio::awaitable<bool> reaches_server_other_than(std::string id);

private:
    boost::asio::awaitable<void> check();
    // The next servers to connect to, without the one with this ID. Later checks ask other servers, since the
    // first ones may have ended.
    std::vector<connection_target> next_targets(const std::string& except);
    void log_return(base::time_point now) const;

    boost::asio::any_io_executor m_executor;
    const placement::server_table& m_servers;
    const placement::round_trip_estimator& m_round_trips;
    loss_handler m_on_loss;
    placement::server_contact m_contact;
    std::size_t m_skipped_servers = 0; // that the checks since contact was lost have asked
};

} // namespace carawayway::gateway

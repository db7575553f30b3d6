// Exchanges datagrams with the other gateways about the quotas of accounts.
#pragma once

#include "carawayway/accounts/quota_ledger.hpp"
#include "carawayway/gateway/usage_codec.hpp"
#include "carawayway/net/timer.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace carawayway::gateway {

// Datagrams, since a report that is late is replaced by the next one. Nothing is sent while no account with a
// quota is in use.
class usage_session {
public:
    // Between two looks at what is to be reported.
    static constexpr base::duration check_interval = std::chrono::milliseconds{50};
    // Accounts in one datagram, which then fits into one packet.
    static constexpr std::size_t maximum_accounts = 24;

    // The address of another gateway, and the name of the gateway at an address; nothing for one that is not
    // registered.
    struct directory {
        std::function<std::optional<boost::asio::ip::udp::endpoint>(const std::string&)> address_of;
        std::function<std::optional<std::string>(const boost::asio::ip::udp::endpoint&)> name_at;
    };

    // Throws boost::system::system_error when the address cannot be bound. The ledger must outlive the
    // session.
    usage_session(const boost::asio::any_io_executor& executor, const boost::asio::ip::udp::endpoint& address,
                  accounts::quota_ledger& ledger, directory gateways);

    boost::asio::ip::udp::endpoint endpoint() const { return m_socket.local_endpoint(); }

    // Sends reports that are due, now and while quotas are in use.
    void wake();

private:
    void check();
    void send_due_reports();
    void send_report(const boost::asio::ip::udp::endpoint& owner, accounts::usage_report report);
    void send(const std::string& payload, const boost::asio::ip::udp::endpoint& receiver);
    void receive_next();
    void handle(const usage_message& message, const boost::asio::ip::udp::endpoint& sender);

    boost::asio::ip::udp::socket m_socket;
    net::timer m_timer;
    accounts::quota_ledger& m_ledger;
    directory m_gateways;
    bool m_is_checking = false;                                      // the timer runs
    alignas(std::uint64_t) std::array<std::byte, 2048> m_received{}; // FlatBuffers reads numbers in place
    boost::asio::ip::udp::endpoint m_sender;
};

} // namespace carawayway::gateway

// Sends crash counts to all other gateways and receives theirs.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/net/timer.hpp"
#include "carawayway/steering/crash_history.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <unordered_map>
#include <vector>

namespace carawayway::gateway {

// Uses datagrams, because a notice is small, goes to every gateway at once and must not wait for one that
// does not answer. Each count is sent several times, since datagrams can be lost.
class crash_notices {
public:
    // When a count is sent, after share().
    static constexpr std::array<base::duration, 3> send_times{
        std::chrono::milliseconds{0}, std::chrono::milliseconds{300}, std::chrono::milliseconds{1500}};
    // Counts in one datagram, which then fits into one packet.
    static constexpr std::size_t maximum_counts = 40;
    // Contents that are waiting to be sent. If many servers are lost at once, some contents are not shared.
    static constexpr std::size_t maximum_scheduled = 512;

    using recipients_function = std::function<std::vector<boost::asio::ip::udp::endpoint>()>;
    // Returns what the sender of the counts is to be told in reply, once.
    using counts_handler =
        std::function<std::vector<steering::crash_count>(const std::vector<steering::crash_count>&)>;

    // Throws boost::system::system_error when the address cannot be bound.
    crash_notices(const boost::asio::any_io_executor& executor, const boost::asio::ip::udp::endpoint& address,
                  recipients_function recipients, counts_handler on_counts);

    boost::asio::ip::udp::endpoint endpoint() const { return m_socket.local_endpoint(); }

    // Replaces an earlier count of the same content that is not completely sent.
    void share(const steering::crash_count& count);

private:
    struct scheduled_count {
        steering::crash_count count;
        base::time_point shared_at;
        std::size_t times_sent = 0; // below send_times.size()
    };

    static base::time_point due_time(const scheduled_count& item) {
        return item.shared_at + send_times.at(item.times_sent);
    }

    void receive_next();
    void schedule_sending();
    void send_due_counts();
    void handle_counts(const std::vector<steering::crash_count>& counts);
    void send(const std::vector<steering::crash_count>& counts,
              const std::vector<boost::asio::ip::udp::endpoint>& recipients);

    boost::asio::ip::udp::socket m_socket;
    net::timer m_timer;
    recipients_function m_recipients;
    counts_handler m_on_counts;
    std::unordered_map<std::uint64_t, scheduled_count> m_scheduled; // by fingerprint
    std::array<std::byte, 2048> m_received{};
    boost::asio::ip::udp::endpoint m_sender;
};

} // namespace carawayway::gateway

// Schedules, sends and receives the datagrams.
#include "carawayway/gateway/crash_notices.hpp"

#include "carawayway/base/log.hpp"
#include "carawayway/gateway/crash_notice_codec.hpp"

#include <algorithm>
#include <span>

namespace carawayway::gateway {

using boost::asio::ip::udp;

crash_notices::crash_notices(const boost::asio::any_io_executor& executor,
                             const boost::asio::ip::udp::endpoint& address, recipients_function recipients,
                             counts_handler on_counts)
    : m_socket(executor, address), m_timer(executor), m_recipients(std::move(recipients)),
      m_on_counts(std::move(on_counts)) {
    m_socket.non_blocking(true);
    receive_next();
}

void crash_notices::share(const steering::crash_count& count) {
    if (!m_scheduled.contains(count.fingerprint) && m_scheduled.size() >= maximum_scheduled) {
        base::log(base::log_level::debug, "crash-notice-dropped", {{"scheduled", m_scheduled.size()}});
        return;
    }
    m_scheduled[count.fingerprint] = {count, base::monotonic_now(), 0};
    schedule_sending();
}

void crash_notices::schedule_sending() {
    if (m_scheduled.empty()) {
        return;
    }
    const auto next =
        std::min_element(m_scheduled.begin(), m_scheduled.end(), [](const auto& left, const auto& right) {
            return due_time(left.second) < due_time(right.second);
        });
    m_timer.expires_at(due_time(next->second));
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            send_due_counts();
        }
    });
}

void crash_notices::send_due_counts() {
    const auto now = base::monotonic_now();
    std::vector<steering::crash_count> due;
    for (auto& [fingerprint, item] : m_scheduled) {
        if (due_time(item) <= now && due.size() < maximum_counts) {
            due.push_back(item.count);
            ++item.times_sent;
        }
    }
    std::erase_if(m_scheduled, [](const auto& item) { return item.second.times_sent == send_times.size(); });
    if (!due.empty()) {
        send(due, m_recipients());
    }
    schedule_sending();
}

// What this gateway still has to send tells of the answers that others know, too.
void crash_notices::handle_counts(const std::vector<steering::crash_count>& counts) {
    for (const auto& count : counts) {
        const auto scheduled = m_scheduled.find(count.fingerprint);
        if (scheduled != m_scheduled.end() && scheduled->second.count.losses > 0) {
            scheduled->second.count.answered |= count.answered;
            scheduled->second.count.answered_since |= count.answered_since;
        }
    }
    const auto reply = m_on_counts(counts);
    if (!reply.empty()) {
        send(reply, {m_sender});
    }
}

void crash_notices::send(const std::vector<steering::crash_count>& counts,
                         const std::vector<udp::endpoint>& recipients) {
    const auto payload = encode_crash_notice(counts);
    std::size_t failed = 0;
    for (const auto& recipient : recipients) {
        boost::system::error_code error;
        m_socket.send_to(boost::asio::buffer(payload), recipient, 0, error);
        failed += error ? 1U : 0U;
    }
    if (failed > 0) {
        base::log(base::log_level::debug, "crash-notice-not-sent", {{"recipients", failed}});
    }
}

void crash_notices::receive_next() {
    m_socket.async_receive_from(
        boost::asio::buffer(m_received), m_sender, [this](boost::system::error_code error, std::size_t size) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            // Any other error concerns one datagram, for example one that a recipient's host rejected.
            const auto counts = error ? std::nullopt : decode_crash_notice(std::span(m_received).first(size));
            if (counts) {
                handle_counts(*counts);
            } else {
                base::log(base::log_level::debug, "crash-notice-invalid", {{"reason", error.message()}});
            }
            receive_next();
        });
}

} // namespace carawayway::gateway

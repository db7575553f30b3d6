// Ends the connections of callers and relaying gateways after a signal, and then the process.
#pragma once

#include "carawayway/base/log.hpp"
#include "carawayway/gateway/session_listener.hpp"
#include "carawayway/gateway/stop_schedule.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <vector>

namespace carawayway::gateway {

// Requests that still arrive are served as long as they can end in time. Idle connections are closed once no
// new ones are accepted, and requests that have no response near the end of the grace time get one then.
class planned_stop {
public:
    // `on_end` runs when no caller is connected any more or no time is left. The listeners outlive this
    // object.
    planned_stop(const boost::asio::any_io_executor& executor, std::vector<session_listener*> listeners,
                 std::function<void()> on_end)
        : m_timer(executor), m_listeners(std::move(listeners)), m_on_end(std::move(on_end)) {}

    void start(const stop_schedule& schedule) {
        m_schedule = schedule;
        for (auto* const listener : m_listeners) {
            listener->close_after_responses();
        }
        check();
    }

private:
    static constexpr base::duration check_interval = std::chrono::milliseconds{50};

    void check() {
        const auto now = base::monotonic_now();
        if (now >= m_schedule.accepts_until) {
            close_listeners();
        }
        if (now >= m_schedule.requests_end && !m_has_expired_requests) {
            m_has_expired_requests = true;
            expire_requests();
        }
        if (now >= m_schedule.process_ends || (now >= m_schedule.accepts_until && is_finished())) {
            log_end();
            m_on_end();
            return;
        }
        m_timer.expires_after(check_interval);
        m_timer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                check();
            }
        });
    }

    void close_listeners() {
        for (auto* const listener : m_listeners) {
            listener->close();
            listener->close_idle();
        }
    }

    void expire_requests() {
        log_unanswered("stop-expires-requests");
        for (auto* const listener : m_listeners) {
            listener->expire_requests();
        }
    }

    // The process waits for callers to close their connections: its end would reset those with unread
    // requests, and the reset discards responses that are on the way.
    bool is_finished() const {
        std::size_t sessions = 0;
        for (const auto* const listener : m_listeners) {
            sessions += listener->size();
        }
        return sessions == 0;
    }

    unanswered_requests unanswered() const {
        unanswered_requests result;
        for (const auto* const listener : m_listeners) {
            result += listener->unanswered();
        }
        return result;
    }

    void log_end() const { log_unanswered("stop-ends"); }

    void log_unanswered(std::string_view event) const {
        const auto left = unanswered();
        base::log(left.total == 0 ? base::log_level::info : base::log_level::warning, event,
                  {{"unanswered", left.total},
                   {"taken_after_stop", left.taken_after_stop},
                   {"behind_others", left.behind_others}});
    }

    boost::asio::steady_timer m_timer;
    std::vector<session_listener*> m_listeners;
    std::function<void()> m_on_end;
    stop_schedule m_schedule;
    bool m_has_expired_requests = false;
};

} // namespace carawayway::gateway

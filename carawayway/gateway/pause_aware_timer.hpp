// A timer for time-outs of answers that may have arrived, unread, while the process stood still.
#pragma once

#include "carawayway/gateway/pause_detector.hpp"
#include "carawayway/net/timer.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <memory>
#include <utility>

namespace carawayway::gateway {

// A timer that a pause has held up waits a little longer, so that what arrived during the pause is read
// before the time-out acts.
class pause_aware_timer {
public:
    static constexpr base::duration unread_input_time = std::chrono::milliseconds{20};

    explicit pause_aware_timer(const boost::asio::any_io_executor& executor) : m_timer(executor) {}

    // Calls on_end(*owner) at this time, unless the timer is cancelled or started again before, or the owner,
    // of which this timer is a member, is gone.
    template <class Owner, class Handler>
    void start(base::time_point end, std::weak_ptr<Owner> owner, Handler on_end) {
        wait_until(end, delay::allowed, std::move(owner), std::move(on_end));
    }

    void cancel() { m_timer.cancel(); }

private:
    // Once only, since the event loop of an overloaded process is always late.
    enum class delay : std::uint8_t { allowed, used };

    template <class Owner, class Handler>
    void wait_until(base::time_point end, delay delay_state, std::weak_ptr<Owner> owner, Handler on_end) {
        m_timer.expires_at(end);
        m_timer.async_wait([this, delay_state, owner = std::move(owner),
                            on_end = std::move(on_end)](boost::system::error_code error) mutable {
            const auto self = owner.lock();
            if (error || !self) {
                return;
            }
            const auto now = base::monotonic_now();
            if (delay_state == delay::allowed && now - m_timer.expiry() > pause_detector::tolerance) {
                wait_until(now + unread_input_time, delay::used, std::move(owner), std::move(on_end));
                return;
            }
            on_end(*self);
        });
    }

    net::timer m_timer;
};

} // namespace carawayway::gateway

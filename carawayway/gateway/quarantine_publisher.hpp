// Writes quarantines of content and their ends to the store, so that all gateways and those that start later
// know them.
#pragma once

#include "carawayway/base/log.hpp"
#include "carawayway/gateway/content_fingerprint.hpp"
#include "carawayway/gateway/content_guard.hpp"
#include "carawayway/gateway/store_channel.hpp"
#include "carawayway/gateway/wire_types.hpp"
#include "carawayway/steering/crash_history.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <bit>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace carawayway::gateway {

// Each key has a lease that is not renewed, so that the store removes it when the quarantine is over. A write
// whose outcome is unknown is repeated, which changes nothing if it was done.
template <platform_protocol Platform>
class quarantine_publisher {
public:
    static constexpr base::duration key_lifetime = steering::crash_history_limits{}.expiry;
    static constexpr base::duration call_timeout = std::chrono::seconds{3}; // the store may be slow
    static constexpr base::duration retry_delay = std::chrono::seconds{1};
    // Content is rarely quarantined; more than this waits only when the store is down for long.
    static constexpr std::size_t maximum_pending = 64;

    // `gateway` is the name of this gateway, which the keys give as their author.
    quarantine_publisher(boost::asio::any_io_executor executor, const boost::asio::ip::tcp::endpoint& store,
                         std::string gateway)
        : m_executor(std::move(executor)), m_gateway(std::move(gateway)), m_channel(m_executor, store),
          m_retry_timer(m_executor) {}

    void publish(const quarantine_change& change) { publish({change, base::monotonic_now()}); }

    // Writes again what may have been lost when the store was restored from an older copy.
    void publish_again() {
        const auto published = std::exchange(m_published, {});
        for (const auto& item : published) {
            if (!is_over(item)) {
                publish(item);
            }
        }
    }

private:
    struct pending_change {
        quarantine_change change;
        base::time_point since;
    };

    static bool is_over(const pending_change& item) {
        return base::monotonic_now() - item.since >= key_lifetime;
    }

    static bool replaces(const quarantine_change& later, const quarantine_change& earlier) {
        return later.fingerprint == earlier.fingerprint && (later.answered != 0) == (earlier.answered != 0);
    }

    void publish(const pending_change& item) {
        if (m_pending.size() >= maximum_pending) {
            base::log(base::log_level::warning, "quarantine-not-published",
                      {{"content", to_text(item.change.fingerprint)}, {"pending", m_pending.size()}});
            return;
        }
        m_pending.push_back(item);
        if (m_pending.size() == 1) {
            boost::asio::co_spawn(m_executor, write_pending(), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> write_pending() {
        while (!m_pending.empty()) {
            const auto item = m_pending.front();
            const bool written = co_await write(item.change);
            if (written) {
                std::erase_if(m_published, [&item](const pending_change& earlier) {
                    return is_over(earlier) || replaces(item.change, earlier.change);
                });
                m_published.push_back(item);
            }
            if (written || is_over(item)) {
                base::log(base::log_level::info,
                          written ? "quarantine-published" : "quarantine-not-published",
                          {{"content", to_text(item.change.fingerprint)},
                           {"losses", item.change.losses},
                           {"released", item.change.is_released},
                           {"answers", std::popcount(item.change.answered)}});
                m_pending.pop_front();
                continue;
            }
            boost::system::error_code ended_early;
            m_retry_timer.expires_after(retry_delay);
            co_await m_retry_timer.async_wait(
                boost::asio::redirect_error(boost::asio::use_awaitable, ended_early));
        }
    }

    boost::asio::awaitable<fleet::store_lease> grant(base::duration lifetime) {
        const auto granted = co_await m_channel.call(Platform::grant_call(lifetime), call_timeout);
        co_return granted ? Platform::read_lease(granted->status, granted->body) : fleet::store_lease{};
    }

    boost::asio::awaitable<bool> write_answers(quarantine_change change) {
        const auto lease = co_await grant(key_lifetime);
        if (lease.status != fleet::store_status::done) {
            co_return false;
        }
        const fleet::answered_content record{to_text(change.fingerprint), m_gateway, change.answered};
        const auto written = co_await m_channel.call(Platform::answers_call(record, lease.id), call_timeout);
        co_return written&& Platform::read_status(written->status) == fleet::store_status::done;
    }

    boost::asio::awaitable<bool> write(quarantine_change change) {
        if (change.answered != 0) {
            co_return co_await write_answers(change);
        }
        const auto lease = co_await grant(key_lifetime);
        fleet::store_lease trial_lease{fleet::store_status::done}; // none
        if (lease.status == fleet::store_status::done && !change.is_released) {
            trial_lease = co_await grant(steering::crash_history::trial_interval(change.losses));
        }
        if (lease.status != fleet::store_status::done || trial_lease.status != fleet::store_status::done) {
            co_return false;
        }
        const fleet::content_quarantine record{to_text(change.fingerprint), m_gateway, change.losses,
                                               change.is_released};
        const auto written = co_await m_channel.call(
            Platform::quarantine_call(record, lease.id, trial_lease.id), call_timeout);
        co_return written&& Platform::read_status(written->status) == fleet::store_status::done;
    }

    boost::asio::any_io_executor m_executor;
    std::string m_gateway;
    store_channel m_channel;
    boost::asio::steady_timer m_retry_timer;
    std::deque<pending_change> m_pending;    // the first one is being written
    std::vector<pending_change> m_published; // by this gateway: the last of each key that is not over
};

} // namespace carawayway::gateway

// Claims, keeps and releases this gateway's permits to send requests to servers that limit their rate.
#pragma once

#include "carawayway/base/log.hpp"
#include "carawayway/gateway/store_channel.hpp"
#include "carawayway/gateway/wire_types.hpp"
#include "carawayway/placement/server_table.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <utility>

namespace carawayway::gateway {

// All permits of a gateway are under one lease of the store. They count until the lease could end at the
// earliest, so that the store never gives a permit to another gateway while this one still uses it. A claim
// whose outcome is unknown counts once the store lists it. No calls are made while no server names a limit.
template <platform_protocol Platform>
class permit_session {
public:
    // Long enough for a gateway to keep its permits through a short outage of the store. The permits of a
    // gateway that was killed are unused for this long.
    static constexpr base::duration lease_lifetime = std::chrono::seconds{15};
    static constexpr base::duration renew_interval = std::chrono::seconds{5};
    static constexpr base::duration call_timeout = std::chrono::milliseconds{900};
    static constexpr base::duration check_interval = std::chrono::milliseconds{250};
    // After a failed call, with up to as much again.
    static constexpr base::duration retry_delay = std::chrono::milliseconds{500};

    // `servers` must outlive the session.
    permit_session(const boost::asio::any_io_executor& executor, const boost::asio::ip::tcp::endpoint& store,
                   placement::server_table& servers)
        : m_executor(executor), m_gateways(servers.gateways()), m_limits(servers.rate_limits()),
          m_channel(executor, store), m_timer(executor), m_random(std::random_device{}()) {}

    void start() { boost::asio::co_spawn(m_executor, run(), boost::asio::detached); }

    // Claims permits now and not at the next check, for example when a server has named a limit.
    void wake() { m_timer.cancel(); }

    // Gives up all permits, because the store was restored from an older copy and may have lost them.
    void reset() { drop_lease("store restored"); }

    // Gives up all permits, so that other gateways can claim them at once.
    void stop() {
        m_stopping = true;
        m_limits.drop_lease();
        m_timer.cancel();
    }

private:
    boost::asio::awaitable<void> run() {
        while (!m_stopping) {
            if (m_limits.empty()) {
                co_await pause(base::duration::max());
                continue;
            }
            const bool succeeded = co_await update_permits();
            m_limits.forget_expired(base::monotonic_now());
            co_await pause(succeeded ? check_interval : jittered_retry_delay());
        }
        if (m_lease != 0) {
            co_await m_channel.call(Platform::revoke_call(m_lease), call_timeout);
        }
    }

    // Returns false when the store did not execute a call, or when that is not known.
    boost::asio::awaitable<bool> update_permits() {
        bool succeeded = co_await keep_lease();
        for (const auto& release : m_limits.due_releases()) {
            succeeded = succeeded && co_await write_release(release);
        }
        if (succeeded && m_lease == 0 && !m_limits.due_claims(m_gateways, base::monotonic_now()).empty()) {
            succeeded = co_await grant_lease();
        }
        const auto claims = m_limits.due_claims(m_gateways, base::monotonic_now());
        for (const auto& claim : claims) {
            succeeded = succeeded && m_lease != 0 && co_await write_claim(claim);
        }
        co_return succeeded;
    }

    boost::asio::awaitable<bool> keep_lease() {
        const auto now = base::monotonic_now();
        if (m_lease != 0 && now >= m_valid_until) {
            end_unrenewed_lease();
        }
        if (m_lease == 0 || now < m_renewed_at + renew_interval || !m_limits.needs_lease(now)) {
            co_return true;
        }
        const auto lease = m_lease;
        const auto response = co_await m_channel.call(Platform::renew_call(lease), call_timeout);
        if (!response || lease != m_lease || m_stopping) {
            m_renewal_failed = true;
            co_return false;
        }
        const auto renewed = Platform::read_lease(response->status, response->body);
        if (renewed.status == fleet::store_status::missing) {
            drop_lease("lease ended");
        }
        m_renewal_failed = renewed.status != fleet::store_status::done;
        if (m_renewal_failed) {
            co_return false;
        }
        extend_lease(now, renewed.lifetime);
        co_return true;
    }

    boost::asio::awaitable<bool> grant_lease() {
        const auto sent_at = base::monotonic_now();
        const auto response = co_await m_channel.call(Platform::grant_call(lease_lifetime), call_timeout);
        const auto lease =
            response ? Platform::read_lease(response->status, response->body) : fleet::store_lease{};
        if (lease.status != fleet::store_status::done || m_stopping) {
            co_return false;
        }
        m_lease = lease.id;
        m_renewal_failed = false;
        m_session = fmt::format("{:016x}", m_random());
        extend_lease(sent_at, lease.lifetime);
        co_return true;
    }

    // The lease runs from the arrival of the call, which was not before it was sent.
    void extend_lease(base::time_point sent_at, base::duration lifetime) {
        m_renewed_at = sent_at;
        m_valid_until = sent_at + lifetime;
        m_limits.set_lease(m_session, m_valid_until);
    }

    boost::asio::awaitable<bool> write_claim(fleet::permit_claim claim) {
        m_limits.defer_claim(claim.permit, base::monotonic_now());
        const auto written = co_await write(Platform::claim_call(claim, m_lease));
        if (written.status == fleet::store_status::done) {
            m_limits.put(claim.permit, written.revision, base::monotonic_now());
            base::log(base::log_level::info, "permit-claimed",
                      {{"server", claim.permit.server},
                       {"number", claim.permit.number},
                       {"limit", claim.permit.requests_per_second},
                       {"revision", written.revision}});
        }
        if (written.status == fleet::store_status::missing) {
            drop_lease("lease ended");
        }
        co_return written.status == fleet::store_status::done ||
            written.status == fleet::store_status::conflict;
    }

    boost::asio::awaitable<bool> write_release(fleet::permit_release release) {
        const auto written = co_await write(Platform::release_call(release, m_lease));
        const bool is_done = written.status == fleet::store_status::done;
        if (is_done || written.status == fleet::store_status::conflict) {
            m_limits.finish_release(release, written.revision, base::monotonic_now());
            base::log(base::log_level::info, "permits-released",
                      {{"server", release.server}, {"permits", release.held.size()}, {"written", is_done}});
            co_return true;
        }
        co_return false;
    }

    boost::asio::awaitable<fleet::transaction_result> write(fleet::store_call call) {
        const auto response = co_await m_channel.call(std::move(call), call_timeout);
        if (!response || m_stopping) {
            co_return fleet::transaction_result{fleet::store_status::refused, {}};
        }
        auto written = Platform::read_transaction(response->status, response->body);
        written.revision = written.revision.in_era(Platform::read_era(response->headers).value_or(0));
        co_return written;
    }

    // A lease that nothing needs any more is not renewed either.
    void end_unrenewed_lease() {
        if (m_renewal_failed) {
            drop_lease("lease not renewed");
            return;
        }
        m_lease = 0;
        m_limits.drop_lease();
    }

    void drop_lease(std::string_view reason) {
        if (m_lease == 0) {
            return;
        }
        base::log(base::log_level::warning, "permits-dropped", {{"reason", reason}});
        m_lease = 0;
        m_limits.drop_lease();
    }

    base::duration jittered_retry_delay() {
        return retry_delay + base::duration{std::uniform_int_distribution<base::duration::rep>{
                                 0, retry_delay.count()}(m_random)};
    }

    boost::asio::awaitable<void> pause(base::duration length) {
        if (length == base::duration::max()) {
            m_timer.expires_at(boost::asio::steady_timer::time_point::max());
        } else {
            m_timer.expires_after(length);
        }
        boost::system::error_code ended_early;
        co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ended_early));
    }

    boost::asio::any_io_executor m_executor;
    const placement::gateway_map& m_gateways;
    placement::request_rate_limits& m_limits;
    store_channel m_channel;
    boost::asio::steady_timer m_timer;
    std::mt19937_64 m_random;
    std::int64_t m_lease = 0; // 0: none
    std::string m_session;
    base::time_point m_renewed_at{};
    base::time_point m_valid_until{};
    bool m_renewal_failed = false; // the last one
    bool m_stopping = false;
};

} // namespace carawayway::gateway

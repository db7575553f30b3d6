// Claims trials of quarantined content in the store, so that the gateways together make one at a time.
#pragma once

#include "carawayway/base/log.hpp"
#include "carawayway/base/time.hpp"
#include "carawayway/gateway/content_fingerprint.hpp"
#include "carawayway/gateway/store_channel.hpp"
#include "carawayway/gateway/wire_types.hpp"
#include "carawayway/steering/crash_history.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace carawayway::gateway {

// A claim is a key with a lease that is not renewed: the next trial follows when it has ended, unless a good
// answer has ended the quarantine, or a further loss has written the key with another lease. If the store
// does not answer, the gateways take turns, in an order of their own for each fingerprint; notices of losses
// and of the end of the quarantine keep the others from trials.
template <platform_protocol Platform>
class quarantine_trials {
public:
    using result_handler = std::function<void(bool is_claimed)>;
    // How many of the known gateways come before this one in trials of a fingerprint without the store.
    using rank_function = std::function<std::size_t(std::string_view fingerprint)>;

    // Two calls leave time for the trial before the lease ends, also while the store is slow.
    static constexpr base::duration call_timeout = std::chrono::seconds{3};
    // Between two claims of this gateway.
    static constexpr base::duration claim_interval = std::chrono::seconds{1};

    // Without the store, from one gateway's turn to the next. All but the first ones have theirs together.
    static constexpr base::duration turn_interval = std::chrono::seconds{1};
    static constexpr std::size_t most_turns = 8;

    // `gateway` is the name of this gateway, which the keys give as their author.
    quarantine_trials(boost::asio::any_io_executor executor, const boost::asio::ip::tcp::endpoint& store,
                      std::string gateway, rank_function rank)
        : m_executor(std::move(executor)), m_gateway(std::move(gateway)), m_channel(m_executor, store),
          m_rank(std::move(rank)) {}

    // Returns false, and does not call `done`, if a claim is in progress or was made just before.
    bool try_claim(const steering::crash_count& subject, result_handler done) {
        const auto now = base::monotonic_now();
        if (m_is_claiming || now < m_next_claim_at) {
            return false;
        }
        m_is_claiming = true;
        m_next_claim_at = now + claim_interval;
        boost::asio::co_spawn(m_executor, claim(subject, std::move(done)), boost::asio::detached);
        return true;
    }

private:
    boost::asio::awaitable<void> claim(steering::crash_count subject, result_handler done) {
        const auto asked_at = base::monotonic_now();
        const auto answer = co_await write_claim(subject.fingerprint);
        if (answer) {
            m_without_store.erase(subject.fingerprint);
        }
        const bool is_claimed = answer ? *answer : has_turn(subject.fingerprint, asked_at);
        m_is_claiming = false;
        base::log(base::log_level::info,
                  is_claimed ? "quarantine-trial-claimed" : "quarantine-trial-not-claimed",
                  {{"content", to_text(subject.fingerprint)},
                   {"losses", subject.losses},
                   {"by_store", answer.has_value()}});
        done(is_claimed);
    }

    // Counts from the first claim that the store has not answered.
    bool has_turn(std::uint64_t fingerprint, base::time_point asked_at) {
        std::erase_if(m_without_store, [asked_at](const auto& item) {
            return asked_at - item.second >= steering::crash_history_limits{}.expiry;
        });
        const auto since = m_without_store.try_emplace(fingerprint, asked_at).first->second;
        const auto turn = std::min(m_rank(to_text(fingerprint)), most_turns);
        return asked_at - since >= static_cast<int>(turn) * turn_interval;
    }

    // Whether the store has taken the claim; nothing if it does not say so.
    boost::asio::awaitable<std::optional<bool>> write_claim(std::uint64_t fingerprint) {
        constexpr auto lifetime = steering::crash_history::shortest_trial_interval;
        const auto granted = co_await m_channel.call(Platform::grant_call(lifetime), call_timeout);
        const auto lease =
            granted ? Platform::read_lease(granted->status, granted->body) : fleet::store_lease{};
        if (lease.status != fleet::store_status::done) {
            co_return std::nullopt;
        }
        const auto written = co_await m_channel.call(
            Platform::claim_trial_call(to_text(fingerprint), m_gateway, lease.id), call_timeout);
        if (!written) {
            // The key may have been written, or be written later, unless its lease has ended.
            const auto ended = co_await m_channel.call(Platform::revoke_call(lease.id), call_timeout);
            base::log(base::log_level::info, "quarantine-trial-given-back",
                      {{"content", to_text(fingerprint)}, {"answered", ended.has_value()}});
        }
        const auto status =
            written ? Platform::read_status(written->status) : fleet::store_status::unreadable;
        const bool is_decided =
            status == fleet::store_status::done || status == fleet::store_status::conflict;
        co_return is_decided ? std::optional(status == fleet::store_status::done) : std::nullopt;
    }

    boost::asio::any_io_executor m_executor;
    std::string m_gateway;
    store_channel m_channel; // used by one claim at a time
    bool m_is_claiming = false;
    base::time_point m_next_claim_at{};
    rank_function m_rank;
    std::unordered_map<std::uint64_t, base::time_point> m_without_store; // by fingerprint
};

} // namespace carawayway::gateway

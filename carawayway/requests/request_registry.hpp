// Ensures that requests are executed at most once: the table of all request IDs that one incarnation has
// accepted.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/base/hash.hpp"
#include "carawayway/base/time.hpp"
#include "carawayway/requests/request_id.hpp"
#include "carawayway/requests/request_lifecycle.hpp"

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace carawayway::requests {

struct registry_settings {
    std::string entry;
    std::uint64_t incarnation = 0;
    base::time_point started;    // ACCEPT counts from here
    base::duration acceptance{}; // how long new IDs are accepted under a prefix; whole milliseconds
    // Records are kept this long after ACCEPT; at least the longest deadline plus the time for resends.
    base::duration retention{};
    std::size_t capacity = 0;    // records
    std::uint64_t hash_seed = 0; // random, so that callers cannot choose nonces that collide in the table

    bool operator==(const registry_settings&) const = default;
};

enum class begin_kind : std::uint8_t {
    fresh,    // first arrival: the caller of `begin` must later call `finish`
    joined,   // in progress: the waiter gets the same outcome
    replayed, // final: `answer` is the outcome
    refused,  // `refusal` is the reason
};

template <class Answer>
struct begin_result {
    begin_kind kind = begin_kind::refused;
    std::optional<Answer> answer;
    std::optional<base::error_kind> refusal;

    bool operator==(const begin_result&) const = default;
};

// Invariants:
//  * `begin` returns `fresh` at most once for an ID;
//  * `begin` never returns `fresh` for an ID that was reported as not executed;
//  * a record is dropped only when it is final and ACCEPT + retention is over.
//
// `Answer` is cheap to copy. Waiters are opaque tokens of the caller of this class.
template <class Answer>
class request_registry {
public:
    explicit request_registry(registry_settings settings) : m_settings(std::move(settings)) {
        m_records.reserve(m_settings.capacity);
    }

    // Returns a prefix under which new IDs are accepted for the acceptance period. When the table is full,
    // all prefixes issued so far are closed, and the ACCEPT of the next one is later than theirs. If the
    // table becomes full more than once in a millisecond, the new prefix is closed already and its IDs are
    // refused: ACCEPT does not advance faster than the clock, since that would extend the time that records
    // are kept.
    std::string issue_prefix(base::time_point now) {
        m_latest_issued = std::max(m_latest_issued, next_accept_until(now));
        return request_id_prefix(m_settings.entry, m_settings.incarnation, m_latest_issued);
    }

    // How long new IDs are accepted under a prefix that is issued at `now`.
    base::duration acceptance_left(base::time_point now) const {
        return std::max(m_latest_issued, next_accept_until(now)) - since_start(now);
    }

    // Whether this incarnation controls the execution of the request.
    bool owns(const request_id& id) const {
        return id.incarnation == m_settings.incarnation && id.entry == m_settings.entry;
    }

    // Records the arrival of a request. `fingerprint` is a hash of its content; `waiter` is stored if the
    // result is `fresh` or `joined`.
    begin_result<Answer> begin(const request_id& id, std::uint64_t fingerprint, std::uint64_t waiter,
                               base::time_point now) {
        advance_clock(now);
        expire_records(records_expired_per_begin);
        if (!owns(id)) {
            return refuse(base::error_kind::request_id_owner_gone);
        }
        if (const auto found = m_records.find(view_of(id)); found != m_records.end()) {
            return join_or_replay(found->second, fingerprint, waiter);
        }
        if (const auto refusal = refusal_of_new_id(id)) {
            return refuse(*refusal);
        }
        insert(id, fingerprint, waiter);
        return {begin_kind::fresh, std::nullopt, std::nullopt};
    }

    // Marks a request as dispatched; to be called before its first byte is sent to a server. If it returns
    // false, the request must not be sent: the ID has no record, is final or was dispatched before.
    bool try_mark_dispatched(const request_id& id) {
        const auto found = m_records.find(view_of(id));
        return owns(id) && found != m_records.end() && try_transition(found->second, request_event::dispatch);
    }

    // Stores the final outcome and returns the waiters to answer. Does nothing if the ID has no record or is
    // final.
    std::vector<std::uint64_t> finish(const request_id& id, Answer answer, base::time_point now) {
        advance_clock(now);
        const auto found = m_records.find(view_of(id));
        if (!owns(id) || found == m_records.end() || !try_transition(found->second, request_event::finish)) {
            return {};
        }
        auto waiters = std::move(std::get<waiter_list>(found->second.outcome));
        found->second.outcome.template emplace<Answer>(std::move(answer));
        --m_pending;
        return waiters;
    }

    // Removes a waiter whose caller has disconnected; the record stays.
    void remove_waiter(const request_id& id, std::uint64_t waiter) {
        const auto found = m_records.find(view_of(id));
        if (!owns(id) || found == m_records.end()) {
            return;
        }
        if (auto* waiters = std::get_if<waiter_list>(&found->second.outcome)) {
            std::erase(*waiters, waiter);
        }
    }

    // State of the request; none without a record.
    std::optional<request_state> state_of(const request_id& id) const {
        const auto found = m_records.find(view_of(id));
        if (!owns(id) || found == m_records.end()) {
            return std::nullopt;
        }
        return found->second.state;
    }

    // Whether the request may have reached a server. Without a record the result is false, but the request
    // may have been dispatched.
    bool was_dispatched(const request_id& id) const {
        const auto state = state_of(id);
        return state == request_state::dispatched || state == request_state::finished;
    }

    std::size_t size() const { return m_records.size(); }
    std::size_t pending() const { return m_pending; } // records that are not final

    // Drops records whose retention is over, at most a fixed number per call. `begin` drops a smaller number,
    // so a table in use also shrinks without this call.
    void expire(base::time_point now) {
        advance_clock(now);
        expire_records(records_expired_per_call);
    }

private:
    static constexpr std::size_t records_expired_per_begin = 4;
    static constexpr std::size_t records_expired_per_call = 256;
    // After this time, a record that is due but not final is checked again.
    static constexpr std::chrono::seconds pending_recheck{1};

    // Records are grouped by due time in units of this length: one list per group is cheaper than a heap of
    // all records.
    using expiry_unit = std::chrono::duration<std::int64_t, std::deci>;
    using waiter_list = std::vector<std::uint64_t>;

    struct record_key {
        base::duration accept_until{};
        std::string nonce;
    };

    struct record_key_view {
        base::duration accept_until{};
        std::string_view nonce;
    };

    struct record {
        std::uint64_t fingerprint = 0;
        std::variant<waiter_list, Answer> outcome; // waiters until the request is final
        request_state state = request_state::received;
    };

    struct key_hash {
        using is_transparent = void;
        std::uint64_t seed = 0;

        std::size_t operator()(const record_key_view& key) const noexcept {
            return base::hash_bytes(key.nonce, seed ^ static_cast<std::uint64_t>(key.accept_until.count()));
        }
        std::size_t operator()(const record_key& key) const noexcept {
            return (*this)(record_key_view{key.accept_until, key.nonce});
        }
    };

    struct key_equal {
        using is_transparent = void;

        template <class Left, class Right>
        bool operator()(const Left& left, const Right& right) const {
            return left.accept_until == right.accept_until &&
                   std::string_view{left.nonce} == std::string_view{right.nonce};
        }
    };

    using record_map = std::unordered_map<record_key, record, key_hash, key_equal>;

    static record_key_view view_of(const request_id& id) { return {id.accept_until, id.nonce}; }

    static begin_result<Answer> refuse(base::error_kind kind) {
        return {begin_kind::refused, std::nullopt, kind};
    }

    base::duration since_start(base::time_point now) const { return now - m_settings.started; }

    // The clock of the registry never goes back: an ID that was refused because of the time stays refused.
    void advance_clock(base::time_point now) { m_elapsed = std::max(m_elapsed, since_start(now)); }

    base::duration next_accept_until(base::time_point now) const {
        const auto by_clock =
            std::chrono::floor<std::chrono::milliseconds>(std::max(m_elapsed, since_start(now))) +
            std::chrono::floor<std::chrono::milliseconds>(m_settings.acceptance);
        const bool is_closed = by_clock <= m_closed_until;
        return is_closed ? by_clock + std::chrono::milliseconds(1) : by_clock;
    }

    bool try_transition(record& stored, request_event event) {
        const auto next = next_state(stored.state, event);
        if (next) {
            stored.state = *next;
        }
        return next.has_value();
    }

    begin_result<Answer> join_or_replay(record& stored, std::uint64_t fingerprint, std::uint64_t waiter) {
        if (stored.fingerprint != fingerprint) {
            return refuse(base::error_kind::request_id_reused);
        }
        if (const auto* answer = std::get_if<Answer>(&stored.outcome)) {
            return {begin_kind::replayed, *answer, std::nullopt};
        }
        std::get<waiter_list>(stored.outcome).push_back(waiter);
        return {begin_kind::joined, std::nullopt, std::nullopt};
    }

    // Why a request whose ID has no record is refused; none if it is accepted.
    std::optional<base::error_kind> refusal_of_new_id(const request_id& id) {
        if (id.accept_until > m_latest_issued) {
            // The same ID may be issued and accepted later, so the answer must not state that the request is
            // not executed.
            return base::error_kind::request_id_not_issued;
        }
        if (m_elapsed >= id.accept_until + m_settings.retention) {
            return base::error_kind::request_id_expired;
        }
        if (m_elapsed > id.accept_until || id.accept_until <= m_closed_until) {
            return base::error_kind::request_id_not_accepted;
        }
        if (m_records.size() >= m_settings.capacity) {
            m_closed_until = m_latest_issued;
            return base::error_kind::request_table_full;
        }
        return std::nullopt;
    }

    void insert(const request_id& id, std::uint64_t fingerprint, std::uint64_t waiter) {
        const auto inserted = m_records.try_emplace(record_key{id.accept_until, id.nonce},
                                                    record{fingerprint, waiter_list{waiter}});
        assert(inserted.second);
        ++m_pending;
        schedule_expiry(inserted.first->first, id.accept_until + m_settings.retention);
    }

    void schedule_expiry(const record_key& key, base::duration due) {
        m_expiry[std::chrono::ceil<expiry_unit>(due)].push_back(&key);
    }

    void expire_records(std::size_t budget) {
        while (budget > 0 && !m_expiry.empty() && m_expiry.begin()->first <= m_elapsed) {
            auto& due = m_expiry.begin()->second;
            while (budget > 0 && !due.empty()) {
                const record_key* key = due.back();
                due.pop_back();
                drop_or_postpone(*key);
                --budget;
            }
            if (due.empty()) {
                m_expiry.erase(m_expiry.begin());
            }
        }
    }

    void drop_or_postpone(const record_key& key) {
        const auto found = m_records.find(key);
        assert(found != m_records.end());
        if (std::holds_alternative<waiter_list>(found->second.outcome)) {
            schedule_expiry(found->first, m_elapsed + pending_recheck);
            return;
        }
        m_records.erase(found);
    }

    registry_settings m_settings;
    base::duration m_elapsed{};         // latest time passed in, since the start
    base::duration m_latest_issued{-1}; // -1: no prefix issued yet, so no ID is valid
    base::duration m_closed_until{-1};  // new IDs with an ACCEPT up to this are refused from now on
    std::size_t m_pending = 0;
    record_map m_records{0, key_hash{m_settings.hash_seed}};
    // Keys in m_records by due time; their addresses are stable. Each record is in exactly one list.
    std::map<expiry_unit, std::vector<const record_key*>> m_expiry;
};

} // namespace carawayway::requests

// The at-most-once table of one incarnation: one record for each request ID that it accepted.
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
    base::time_point started;    // zero of ACCEPT
    base::duration acceptance{}; // how long new IDs are accepted under a prefix; whole milliseconds
    base::duration
        retention{};          // records are kept this long after ACCEPT; >= longest deadline + resend window
    std::size_t capacity = 0; // records
    std::uint64_t hash_seed = 0; // random: keeps callers from choosing nonces that collide in the table

    bool operator==(const registry_settings&) const = default;
};

enum class begin_kind : std::uint8_t {
    fresh,    // first arrival: the caller of `begin` must bring it to `finish`
    joined,   // already in progress: the waiter gets the same outcome
    replayed, // already final: `answer` is the outcome
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
//  * an ID is fresh at most once;
//  * an ID that was ever reported as not executed is never fresh afterwards;
//  * a record is dropped only after it is final and ACCEPT + retention is over.
// `Answer` is cheap to copy. Waiters are tokens of the caller of this class; they are not interpreted.
template <class Answer>
class request_registry {
public:
    explicit request_registry(registry_settings settings) : m_settings(std::move(settings)) {
        m_records.reserve(m_settings.capacity);
    }

    // A prefix under which new IDs are accepted for the acceptance time. After the table was full, its ACCEPT
    // is later than every closed one. When the table was full more often than once in this millisecond, the
    // prefix is closed already and its IDs are refused: ACCEPT never runs ahead of the clock, since that
    // would lengthen the time that records are kept.
    std::string issue_prefix(base::time_point now) {
        m_newest_issued = std::max(m_newest_issued, next_accept(now));
        return request_id_prefix(m_settings.entry, m_settings.incarnation, m_newest_issued);
    }

    // How long new IDs are accepted under a prefix issued at `now`.
    base::duration acceptance_left(base::time_point now) const {
        return std::max(m_newest_issued, next_accept(now)) - since_start(now);
    }

    // Whether this incarnation controls the execution of the ID.
    bool owns(const request_id& id) const {
        return id.incarnation == m_settings.incarnation && id.entry == m_settings.entry;
    }

    // `fingerprint` is a hash of the content; `waiter` is kept when the result is fresh or joined.
    begin_result<Answer> begin(const request_id& id, std::uint64_t fingerprint, std::uint64_t waiter,
                               base::time_point now) {
        advance(now);
        expire_records(records_expired_per_begin);
        if (!owns(id)) {
            return refuse(base::error_kind::request_id_owner_gone);
        }
        if (const auto found = m_records.find(view_of(id)); found != m_records.end()) {
            return resend(found->second, fingerprint, waiter);
        }
        if (const auto refusal = refusal_of_new(id)) {
            return refuse(*refusal);
        }
        insert(id, fingerprint, waiter);
        return {begin_kind::fresh, std::nullopt, std::nullopt};
    }

    // Called before the first byte is sent to a server. True when it may be sent; false when the ID has no
    // record, is final or was dispatched before: it must not be sent then.
    bool try_mark_dispatched(const request_id& id) {
        const auto found = m_records.find(view_of(id));
        return owns(id) && found != m_records.end() && step(found->second, request_event::dispatch);
    }

    // Stores the final outcome and returns the waiters to answer. Ignored when the ID has no record or is
    // final.
    std::vector<std::uint64_t> finish(const request_id& id, Answer answer, base::time_point now) {
        advance(now);
        const auto found = m_records.find(view_of(id));
        if (!owns(id) || found == m_records.end() || !step(found->second, request_event::finish)) {
            return {};
        }
        auto waiters = std::move(std::get<waiter_list>(found->second.outcome));
        found->second.outcome.template emplace<Answer>(std::move(answer));
        --m_pending;
        return waiters;
    }

    // The caller with this waiter left; the record stays.
    void remove_waiter(const request_id& id, std::uint64_t waiter) {
        const auto found = m_records.find(view_of(id));
        if (!owns(id) || found == m_records.end()) {
            return;
        }
        if (auto* waiters = std::get_if<waiter_list>(&found->second.outcome)) {
            std::erase(*waiters, waiter);
        }
    }

    // The state of the record; none when there is no record.
    std::optional<request_state> state_of(const request_id& id) const {
        const auto found = m_records.find(view_of(id));
        if (!owns(id) || found == m_records.end()) {
            return std::nullopt;
        }
        return found->second.state;
    }

    // Whether the request may have reached a server. False without a record, which then proves nothing.
    bool was_dispatched(const request_id& id) const {
        const auto state = state_of(id);
        return state == request_state::dispatched || state == request_state::finished;
    }

    std::size_t size() const { return m_records.size(); }
    std::size_t pending() const { return m_pending; } // records that are not final

    // Drops records whose retention is over, at most a fixed number in one call. `begin` does the same with a
    // smaller number, so a table in use shrinks without this call.
    void expire(base::time_point now) {
        advance(now);
        expire_records(records_expired_per_call);
    }

private:
    static constexpr std::size_t records_expired_per_begin = 4;
    static constexpr std::size_t records_expired_per_call = 256;
    // A record that is due but not final is looked at again after this time.
    static constexpr std::chrono::seconds pending_recheck{1};

    // Records are dropped in groups of this length, so that a list per group replaces a heap of all records.
    using expiry_unit = std::chrono::duration<std::int64_t, std::deci>;
    using waiter_list = std::vector<std::uint64_t>;

    struct record_key {
        base::duration accept{};
        std::string nonce;
    };

    struct record_key_view {
        base::duration accept{};
        std::string_view nonce;
    };

    struct record {
        std::uint64_t fingerprint = 0;
        std::variant<waiter_list, Answer> outcome; // waiters until it is final
        request_state state = request_state::received;
    };

    struct key_hash {
        using is_transparent = void;
        std::uint64_t seed = 0;

        std::size_t operator()(const record_key_view& key) const noexcept {
            return base::hash_bytes(key.nonce, seed ^ static_cast<std::uint64_t>(key.accept.count()));
        }
        std::size_t operator()(const record_key& key) const noexcept {
            return (*this)(record_key_view{key.accept, key.nonce});
        }
    };

    struct key_equal {
        using is_transparent = void;

        template <class Left, class Right>
        bool operator()(const Left& left, const Right& right) const {
            return left.accept == right.accept &&
                   std::string_view{left.nonce} == std::string_view{right.nonce};
        }
    };

    using record_map = std::unordered_map<record_key, record, key_hash, key_equal>;

    static record_key_view view_of(const request_id& id) { return {id.accept, id.nonce}; }

    static begin_result<Answer> refuse(base::error_kind kind) {
        return {begin_kind::refused, std::nullopt, kind};
    }

    base::duration since_start(base::time_point now) const { return now - m_settings.started; }

    // Time never goes back in here: what was refused because of the time stays refused.
    void advance(base::time_point now) { m_elapsed = std::max(m_elapsed, since_start(now)); }

    base::duration next_accept(base::time_point now) const {
        const auto by_clock =
            std::chrono::floor<std::chrono::milliseconds>(std::max(m_elapsed, since_start(now))) +
            std::chrono::floor<std::chrono::milliseconds>(m_settings.acceptance);
        const bool closed = by_clock <= m_closed_until;
        return closed ? by_clock + std::chrono::milliseconds(1) : by_clock;
    }

    bool step(record& entry, request_event event) {
        const auto next = next_state(entry.state, event);
        if (next) {
            entry.state = *next;
        }
        return next.has_value();
    }

    begin_result<Answer> resend(record& entry, std::uint64_t fingerprint, std::uint64_t waiter) {
        if (entry.fingerprint != fingerprint) {
            return refuse(base::error_kind::request_id_reused);
        }
        if (const auto* answer = std::get_if<Answer>(&entry.outcome)) {
            return {begin_kind::replayed, *answer, std::nullopt};
        }
        std::get<waiter_list>(entry.outcome).push_back(waiter);
        return {begin_kind::joined, std::nullopt, std::nullopt};
    }

    // Why an ID without a record is refused; none when it is fresh.
    std::optional<base::error_kind> refusal_of_new(const request_id& id) {
        if (id.accept > m_newest_issued) {
            // The same ID may be issued and accepted later, so this answer must not promise "not executed".
            return base::error_kind::request_id_not_issued;
        }
        if (m_elapsed >= id.accept + m_settings.retention) {
            return base::error_kind::request_id_expired;
        }
        if (m_elapsed > id.accept || id.accept <= m_closed_until) {
            return base::error_kind::request_id_not_accepted;
        }
        if (m_records.size() >= m_settings.capacity) {
            m_closed_until = m_newest_issued;
            return base::error_kind::request_table_full;
        }
        return std::nullopt;
    }

    void insert(const request_id& id, std::uint64_t fingerprint, std::uint64_t waiter) {
        const auto inserted =
            m_records.try_emplace(record_key{id.accept, id.nonce}, record{fingerprint, waiter_list{waiter}});
        assert(inserted.second);
        ++m_pending;
        schedule_expiry(inserted.first->first, id.accept + m_settings.retention);
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
    base::duration m_elapsed{};         // latest time seen, since the start
    base::duration m_newest_issued{-1}; // no prefix issued yet: no ID can be ours
    base::duration m_closed_until{-1};  // IDs up to this ACCEPT without a record are refused for ever
    std::size_t m_pending = 0;
    record_map m_records{0, key_hash{m_settings.hash_seed}};
    // Due time to keys in m_records, whose addresses are stable. Each record is in exactly one list.
    std::map<expiry_unit, std::vector<const record_key*>> m_expiry;
};

} // namespace carawayway::requests

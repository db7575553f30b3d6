// Keeps request content that takes servers down from reaching more than two of them.
#pragma once

#include "carawayway/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace carawayway::steering {

enum class guard_verdict : std::uint8_t {
    clear,
    run_isolated, // only alone on an idle server
    refuse_quarantined,
    refuse_recorded_by_peer, // recorded by another entry instance, which alone may run it
    refuse_busy,             // an isolated run of this content is in flight
};

// How the requests of a lost server were running.
enum class isolation : std::uint8_t { shared, isolated };

// A record as sent to peers. One strike makes content suspect, two quarantine it.
struct strike {
    std::uint64_t fingerprint = 0;
    std::uint32_t count = 0;
    std::string recorded_by; // name of the entry instance

    bool operator==(const strike&) const = default;
};

struct crash_guard_limits {
    std::size_t capacity = 4096;                      // records
    base::duration expiry = std::chrono::minutes{10}; // since the last strike
    base::duration busy_retry =
        std::chrono::milliseconds{200}; // retry advice while an isolated run is in flight
    base::duration elsewhere_retry = std::chrono::seconds{1}; // retry advice for content recorded by a peer

    bool operator==(const crash_guard_limits&) const = default;
};

class crash_guard {
public:
    crash_guard(std::string entry, crash_guard_limits limits);

    guard_verdict check(std::uint64_t fingerprint, base::time_point now) const;

    // The entry instance that alone may run this content; empty when the content is clear or quarantined.
    std::string recorder(std::uint64_t fingerprint, base::time_point now) const;

    // An isolated run begins. It ends with record_answer(), record_server_loss(), or abandon_isolated_run().
    void begin_isolated_run(std::uint64_t fingerprint);
    // An isolated run ended without proof either way: timed out, cancelled, never sent or shed.
    void abandon_isolated_run(std::uint64_t fingerprint);

    // Returns the records to send to all peers before any caller is answered. A loss with several different
    // contents in flight makes each of them suspect but quarantines none, since the culprit is not known.
    std::vector<strike> record_server_loss(std::span<const std::uint64_t> fingerprints_in_flight,
                                           isolation mode, base::time_point now);

    // A server answered this content and survived. Returns the cleared record to send to peers; only the
    // entry that recorded a suspect clears it, and quarantine is never cleared.
    std::optional<strike> record_answer(std::uint64_t fingerprint, base::time_point now);

    // A record arrived from a peer.
    void merge(const strike& record, base::time_point now);
    // All records in force, in no particular order.
    std::vector<strike> records(base::time_point now) const;
    // A peer cleared the record that `recorded_by` made.
    void clear(std::uint64_t fingerprint, std::string_view recorded_by);

    // When a caller that was refused should come back; zero when the content is clear.
    base::duration retry_after(std::uint64_t fingerprint, base::time_point now) const;

    std::size_t size() const { return m_records.size(); }

private:
    struct record {
        std::uint32_t count = 0;
        std::string recorded_by;
        base::time_point expires;
        bool running = false;    // an isolated run is in flight here
        bool own_strike = false; // this entry saw a loss too and may judge the content if the recorder clears
    };
    using record_table = std::unordered_map<std::uint64_t, record>;

    const record* find(std::uint64_t fingerprint, base::time_point now) const;
    record* find_or_insert(std::uint64_t fingerprint, std::uint32_t count, base::time_point now);
    bool make_room(std::uint32_t count, base::time_point now);

    std::string m_entry;
    crash_guard_limits m_limits;
    record_table m_records; // at most m_limits.capacity
};

} // namespace carawayway::steering

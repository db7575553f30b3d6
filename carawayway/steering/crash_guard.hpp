// Limits the damage of request content that crashes servers: such content takes down at most two of them.
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
    run_isolated, // may run only alone, on an idle server
    refuse_quarantined,
    refuse_recorded_by_peer, // only the entry instance that recorded it may run it
    refuse_busy,             // an isolated run of this content is in flight
};

// Whether a request runs beside others on its server or alone.
enum class isolation : std::uint8_t { shared, isolated };

// A record as sent to peers. With one strike the content is suspect, with two it is quarantined.
struct strike {
    std::uint64_t fingerprint = 0;
    std::uint32_t count = 0;
    std::string recorded_by; // name of an entry instance

    bool operator==(const strike&) const = default;
};

struct crash_guard_limits {
    std::size_t capacity = 4096;                                      // records
    base::duration expiry = std::chrono::minutes{10};                 // of a record, since the last strike
    base::duration busy_retry_after = std::chrono::milliseconds{200}; // while an isolated run is in flight
    base::duration peer_retry_after = std::chrono::seconds{1};        // for content recorded by a peer

    bool operator==(const crash_guard_limits&) const = default;
};

class crash_guard {
public:
    crash_guard(std::string entry, crash_guard_limits limits);

    guard_verdict check(std::uint64_t fingerprint, base::time_point now) const;

    // Name of the only entry instance that may run this content; empty when the content is clear or
    // quarantined.
    std::string recorder(std::uint64_t fingerprint, base::time_point now) const;

    // Records that an isolated run begins. The run ends with record_answer(), record_server_loss() or
    // abandon_isolated_run().
    void begin_isolated_run(std::uint64_t fingerprint);
    // Ends an isolated run that showed nothing about the content: it timed out, was cancelled, was not sent
    // or was shed.
    void abandon_isolated_run(std::uint64_t fingerprint);

    // Adds strikes for the content that was in flight on a lost server. Returns the records, which must be
    // sent to all peers before any caller is answered. A loss with several different contents in flight makes
    // each of them suspect but quarantines none, since it does not show which of them caused it.
    std::vector<strike> record_server_loss(std::span<const std::uint64_t> fingerprints_in_flight,
                                           isolation mode, base::time_point now);

    // Records that a server answered this content. Returns the cleared record, which must be sent to peers,
    // if any. Only the entry instance that recorded suspect content clears it; quarantine is not cleared.
    std::optional<strike> record_answer(std::uint64_t fingerprint, base::time_point now);

    // Merges a record received from a peer.
    void merge(const strike& record, base::time_point now);
    // All records that have not expired, in no particular order.
    std::vector<strike> records(base::time_point now) const;
    // Applies the message of a peer that the record made by `recorded_by` is cleared.
    void clear(std::uint64_t fingerprint, std::string_view recorded_by);

    // How long a refused caller should wait before it retries; zero when the content is clear.
    base::duration retry_after(std::uint64_t fingerprint, base::time_point now) const;

    std::size_t size() const { return m_records.size(); }

private:
    struct record {
        std::uint32_t count = 0;
        std::string recorded_by;
        base::time_point expires;
        bool isolated_run_in_flight = false; // at this entry instance
        // This entry instance also lost a server with this content, and becomes the recorder when the present
        // recorder clears the record.
        bool has_own_strike = false;
    };
    using record_table = std::unordered_map<std::uint64_t, record>;

    const record* find_unexpired(std::uint64_t fingerprint, base::time_point now) const;
    record* find_or_insert(std::uint64_t fingerprint, std::uint32_t count, base::time_point now);
    bool make_room(std::uint32_t count, base::time_point now);

    std::string m_entry;
    crash_guard_limits m_limits;
    record_table m_records; // at most m_limits.capacity
};

} // namespace carawayway::steering

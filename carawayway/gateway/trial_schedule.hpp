// Decides when this gateway may try quarantined content again.
#pragma once

#include "carawayway/base/time.hpp"

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace carawayway::gateway {

// Permits one trial. Given back when it is destroyed, for the next request if the trial had no result.
using trial_permit = std::shared_ptr<const std::uint64_t>;

// The gateways together make one trial of a fingerprint at a time: the one that has claimed it in the store.
// A claim permits one trial after the other until it ends or a further loss defers them.
class trial_schedule {
public:
    // After a loss. The key that keeps gateways from trials may not be in the store yet, or not be written.
    void defer(std::uint64_t fingerprint, base::time_point until, base::time_point now);
    bool is_deferred(std::uint64_t fingerprint, base::time_point now) const;

    // Whether the store has a key that keeps all gateways from trials of this fingerprint.
    void set_store_key(std::uint64_t fingerprint, bool is_present, base::time_point now);

    // Whether this gateway has a claim that is not in use, or may ask for one. `interval` is the lifetime of
    // the key in the store, whose removal may be learned late.
    bool is_available(std::uint64_t fingerprint, base::duration interval, base::time_point now) const;

    // Records that this gateway has claimed trials, until a time before the end of the key's lease.
    void add_claim(std::uint64_t fingerprint, base::time_point ends, base::time_point now);
    // Null unless this gateway has a claim that is not in use.
    trial_permit take_permit(std::uint64_t fingerprint, base::time_point now);

private:
    struct claim {
        base::time_point ends;
        std::weak_ptr<const std::uint64_t> permit; // expired unless the claim is in use
    };

    std::unordered_map<std::uint64_t, base::time_point> m_deferred_until; // by fingerprint
    std::unordered_map<std::uint64_t, base::time_point> m_store_keys;     // since when they are known
    std::unordered_map<std::uint64_t, claim> m_claims;                    // of this gateway
};

} // namespace carawayway::gateway

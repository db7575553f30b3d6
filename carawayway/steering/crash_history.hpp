// Remembers which request contents were running when servers ended, on gateways that share all servers.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/steering/answered_variants.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace carawayway::steering {

// How often content was lost in sequence. A count of zero in a message says that a server has answered it.
struct crash_count {
    std::uint64_t fingerprint = 0;
    std::uint32_t losses = 0;
    variant_set answered = 0; // in the last ten minutes; none in a message of an older gateway
    // A server has answered a trial: the content may run again if it has no more losses without an excuse.
    bool is_released = false;
    variant_set answered_since = 0; // since the first loss or the release

    bool operator==(const crash_count&) const = default;
};

enum class crash_suspicion : std::uint8_t {
    none,
    suspected,   // lost, but not often enough; may run, but only so that another loss is conclusive
    quarantined, // must not be sent to a server
};

struct crash_history_limits {
    std::size_t capacity = 8192;                      // contents and variants
    base::duration expiry = std::chrono::minutes{10}; // since the last loss

    bool operator==(const crash_history_limits&) const = default;
};

// A loss counts only if the request was sent when all earlier losses of its content were known, so that one
// failure of many servers raises the count of each content by one at most. Answers of servers clear suspected
// content, and answers to other variants excuse losses. The crash_guard of an entry instance also isolates
// suspected content, which requires that the instance owns the server, and therefore needs fewer losses.
class crash_history {
public:
    // One loss may be a lost answer, and a second one the failure of a whole failure domain.
    static constexpr std::uint32_t quarantine_losses = 3;
    static constexpr std::uint32_t maximum_losses = 64;

    // Quarantined content is tried again after this time, also if a trial has lost a server: harmless content
    // has to be served again soon after the last crash. It may lose this many servers in trials; then there
    // is none before the quarantine is over.
    static constexpr base::duration shortest_trial_interval = std::chrono::seconds{10};
    static constexpr std::uint32_t maximum_losses_in_trials = 3;

    explicit crash_history(crash_history_limits limits) : m_limits(limits) {}

    bool empty() const { return m_records.empty(); }
    std::size_t size() const { return m_records.size(); }

    // Losses of this content that are known; zero when the record has expired.
    std::uint32_t losses(std::uint64_t fingerprint, base::time_point now) const;
    // Those that answers to other variants do not excuse.
    std::uint32_t unexcused_losses(std::uint64_t fingerprint, base::time_point now) const;
    crash_suspicion suspicion(std::uint64_t fingerprint, base::time_point now) const;
    // Time until the content may be sent again; zero unless it is quarantined.
    base::duration quarantine_left(std::uint64_t fingerprint, base::time_point now) const;

    // Time from the loss that made the count, or from a trial without a result, to the next trial.
    static base::duration trial_interval(std::uint32_t unexcused_losses);

    // Records that a server was lost while it ran this content. `losses_when_sent` is the value of losses()
    // when the request was sent.
    void record_loss(std::uint64_t fingerprint, std::uint32_t losses_when_sent, base::time_point now);

    // Records that a server has answered this content. Suspected content is cleared by this many answers
    // since its first loss or its release; returns whether it was. Quarantine is not lifted.
    bool record_answer(std::uint64_t fingerprint, std::uint32_t answers_that_clear = 1);

    // The same for answers at all gateways: suspected content is cleared by this many variants. They also
    // excuse losses, and can end a quarantine by that.
    bool add_answers(std::uint64_t fingerprint, variant_set answered, std::uint32_t answers_that_clear,
                     base::time_point now);
    // Answered since the first loss or the release.
    variant_set answered_since(std::uint64_t fingerprint, base::time_point now) const;

    // Excuses this many losses of known content, or as many as before if that is more, beside those that are
    // excused by answers since the first one.
    void excuse(std::uint64_t fingerprint, std::uint32_t excused, base::time_point now);

    // Lifts the quarantine of content that has no more than these losses without an excuse. It stays
    // suspected, and its next loss without an excuse quarantines it again. Returns whether it was
    // quarantined.
    bool release(const crash_count& released, base::time_point now);

    // Applies what another gateway knows. Returns whether the content is newly quarantined.
    bool merge(const crash_count& received, base::time_point now);

private:
    struct record {
        std::uint32_t losses = 0;  // at least 1, at most maximum_losses
        std::uint32_t excused = 0; // by answers before the first loss
        std::uint32_t excused_before_release = 0;
        std::uint32_t answers = 0;      // at this gateway, since the first loss or the release
        variant_set answered_since = 0; // at all gateways, since the first loss or the release
        bool is_released = false;       // only with quarantine_losses or more

        std::uint32_t unexcused() const {
            const auto all_excused = excused + excused_before_release + excused_losses(answered_since);
            return losses - std::min(losses, all_excused);
        }
        bool is_quarantined() const { return unexcused() >= quarantine_losses && !is_released; }
        base::time_point expires;
    };

    const record* find_unexpired(std::uint64_t fingerprint, base::time_point now) const;
    void raise(std::uint64_t fingerprint, std::uint32_t losses, base::time_point now);
    void make_room(base::time_point now);

    crash_history_limits m_limits;
    std::unordered_map<std::uint64_t, record> m_records; // at most m_limits.capacity
};

} // namespace carawayway::steering

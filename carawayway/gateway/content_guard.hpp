// Keeps request content that crashes servers away from them, together with the other gateways.
#pragma once

#include "carawayway/gateway/content_fingerprint.hpp"
#include "carawayway/gateway/trial_schedule.hpp"
#include "carawayway/metrics/metric_registry.hpp"
#include "carawayway/steering/answered_variants.hpp"
#include "carawayway/steering/crash_history.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace carawayway::gateway {

// Where a gateway learned that content is quarantined.
enum class quarantine_source : std::uint8_t { own_loss, peer, store };

// The quarantine of one content or variant, or its end, or what keeps it from quarantine.
struct quarantine_change {
    std::uint64_t fingerprint = 0;
    // Without an excuse; 0 in the records of older gateways, which write no key for the trial either.
    std::uint32_t losses = 0;
    bool is_released = false; // after a good answer
    // If not empty, the change tells only of these answers to content that is not quarantined.
    steering::variant_set answered = 0;

    bool operator==(const quarantine_change&) const = default;
};

// How often a request was lost in sequence.
struct content_losses {
    std::uint32_t content = 0;             // by how many variants, under any query and object
    std::uint32_t variant = 0;             // with the same query and object
    std::uint32_t content_with_query = 0;  // by how many variants, under any object
    std::uint32_t content_with_object = 0; // by how many variants, under any query

    std::array<std::uint32_t, 3> groups() const { return {content, content_with_query, content_with_object}; }
    bool is_suspected() const {
        return std::max({variant, content, content_with_query, content_with_object}) > 0;
    }

    bool operator==(const content_losses&) const = default;
};

// Counts losses of contents and of their variants, so that content that ends servers is recognised whatever
// object its callers name, and content that ends them for a single object stays available for the others.
// Remembers answers as well: if servers answer most variants of a content, or have answered a variant before,
// those that end while they run it have ended for another reason.
class content_guard {
public:
    // An answer for another query or object is weak evidence that the content is harmless.
    static constexpr std::uint32_t answers_that_clear_content = 8;
    // While no content is suspected, answers to requests with larger bodies are not recorded: hashing them
    // all would delay other requests.
    static constexpr std::size_t maximum_body_hashed_in_calm = 4U << 10U;

    // Answers are written again after this part of the lifetime of their key.
    static constexpr base::duration answers_renewal = steering::crash_history_limits{}.expiry / 2;

    // Tells the other gateways; they may miss it.
    using share_function = std::function<void(const steering::crash_count&)>;
    // Writes the change to the store, for all gateways and those that start later.
    using publish_function = std::function<void(const quarantine_change&)>;

    // Claims the next trial of a fingerprint for this gateway, unless it has asked just before, and passes on
    // whether it got the trial, maybe seconds later. Returns false if it does not ask.
    using claim_function =
        std::function<bool(const steering::crash_count&, std::function<void(bool is_claimed)>)>;

    // `metrics` must outlive the guard.
    content_guard(metrics::metric_registry& metrics, share_function share, publish_function publish,
                  claim_function claim);

    // Whether no content is known to have lost a server, so that fingerprints are not needed.
    bool is_idle() const { return m_history.empty(); }
    content_losses losses(const content_fingerprints& request, base::time_point now) const {
        return {m_history.losses(request.content, now), m_history.losses(request.variant, now),
                m_history.losses(request.content_with_query, now),
                m_history.losses(request.content_with_object, now)};
    }
    // Time until the quarantine ends by itself; zero unless one of the fingerprints is quarantined.
    base::duration quarantine_left(const content_fingerprints& request, base::time_point now) const;

    // What a trial of this request would test, with its losses without an excuse: its variant, or the widest
    // of its other fingerprints that is quarantined. Empty if both the variant and another one are, or if the
    // next trial is not due.
    std::optional<steering::crash_count> trial_subject(const content_fingerprints& request,
                                                       base::time_point now) const;
    // Time from one trial of this quarantined request to the next.
    base::duration trial_interval(const content_fingerprints& request, base::time_point now) const;
    // Passes on the permit for a trial, at once or when this gateway has claimed it, or null if it does not
    // get it. Returns false, and does not call `done`, if it does not ask.
    bool begin_trial(const steering::crash_count& subject, base::time_point now,
                     std::function<void(trial_permit)> done);
    // See trial_schedule::set_store_key.
    void set_trial_claimed(std::uint64_t fingerprint, bool is_claimed, base::time_point now) {
        m_trials.set_store_key(fingerprint, is_claimed, now);
    }
    // Ends the quarantine of what a trial has tested, after a good answer, unless it has been lost since.
    void release(const steering::crash_count& tested, base::time_point now);
    // The same for the other fingerprints of the request that are quarantined.
    void release_others(const content_fingerprints& request, base::time_point now);
    // Applies the change that another gateway has written to the store.
    void apply(const quarantine_change& change, base::time_point now);
    // The same for answers.
    void apply_answers(std::uint64_t fingerprint, steering::variant_set answered, base::time_point now);

    // Records a server that was lost with this request, without telling other gateways unless the request is
    // quarantined by it. `losses_when_sent` is the value of losses() when the request was sent.
    void record_loss(const content_fingerprints& request, const content_losses& losses_when_sent,
                     base::time_point now);
    // Tells the other gateways of a recorded loss. Called before a caller learns of the failure, since the
    // caller may then send the same content to any of them.
    void share_loss(const content_fingerprints& request, base::time_point now);
    // `request_hash` tells requests of the same variant apart. Returns whether the suspected variant was
    // cleared.
    bool record_answer(const content_fingerprints& request, base::time_point now,
                       std::uint64_t request_hash = 0);

    // What the gateway that has lost a server should know of answers that this one has seen. Empty if it
    // knows enough, or if the loss is not new. Called before merge().
    std::optional<steering::crash_count> reply_to(const steering::crash_count& received,
                                                  base::time_point now) const;
    void merge(const steering::crash_count& received, quarantine_source source, base::time_point now);

private:
    void record_loss_of(std::uint64_t fingerprint, std::uint32_t losses_when_sent, base::time_point now);
    void share_loss_of(std::uint64_t fingerprint, base::time_point now);
    // The losses and the answers that are known of a content or a variant.
    steering::crash_count count_of(std::uint64_t fingerprint, base::time_point now) const {
        return {fingerprint, m_history.losses(fingerprint, now), m_answered.find(fingerprint, now), false,
                m_history.answered_since(fingerprint, now)};
    }
    bool is_quarantined(std::uint64_t fingerprint, base::time_point now) const {
        return m_history.suspicion(fingerprint, now) == steering::crash_suspicion::quarantined;
    }
    // Excuses losses of a suspected content or variant by the answers that are known.
    void excuse_losses(std::uint64_t fingerprint, base::time_point now) {
        m_history.excuse(fingerprint, steering::excused_losses(m_answered.find(fingerprint, now)), now);
    }
    void publish_quarantine(std::uint64_t fingerprint, base::time_point now);
    // Gateways that start later have to know of answers that excuse losses.
    void publish_answers(std::uint64_t fingerprint, base::time_point now);
    // Tells the others, also while the store is away, and those that start later.
    void publish_release(std::uint64_t fingerprint, base::time_point now);
    // The losses of what was quarantined are excused.
    void end_quarantine(std::uint64_t fingerprint, base::time_point now);
    // Adds an answer to those of a content or a variant.
    void record_answered(std::uint64_t fingerprint, std::uint64_t answered, base::time_point now);
    bool record_answer_of(std::uint64_t fingerprint, steering::variant_set answered,
                          std::uint32_t answers_that_clear, base::time_point now);
    // Losses that count for the intervals of trials. Content that servers answer is tried on and on.
    std::uint32_t counted_losses(std::uint64_t fingerprint, base::time_point now) const;

    base::duration trial_interval(std::uint64_t fingerprint, base::time_point now) const {
        return steering::crash_history::trial_interval(counted_losses(fingerprint, now));
    }
    void defer_trial(std::uint64_t fingerprint, base::time_point now) {
        m_trials.defer(fingerprint, now + trial_interval(fingerprint, now), now);
    }
    void report_release(std::uint64_t fingerprint, std::string_view source);
    void report_quarantine(std::uint64_t fingerprint, quarantine_source source, base::time_point now);

    steering::crash_history m_history{{}};
    steering::answered_variants m_answered;       // by fingerprint
    std::unordered_set<std::uint64_t> m_unshared; // fingerprints with a loss that other gateways do not know
    trial_schedule m_trials;
    // Fingerprints that this gateway has published, and when. Some are not quarantined any more.
    std::unordered_map<std::uint64_t, base::time_point> m_own_quarantines;
    struct published_answers {
        steering::variant_set answered = 0;
        base::time_point since;
        bool is_own = false; // written by this gateway, which writes again what it learns from replies
    };
    std::unordered_map<std::uint64_t, published_answers> m_published_answers; // by fingerprint
    metrics::metric_registry& m_metrics;
    share_function m_share;
    publish_function m_publish;
    claim_function m_claim;
};

} // namespace carawayway::gateway

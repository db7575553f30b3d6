// The content of one request, as the content guard knows it.
#pragma once

#include "carawayway/gateway/content_fingerprint.hpp"
#include "carawayway/gateway/content_guard.hpp"
#include "carawayway/gateway/wire_types.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace carawayway::gateway {

// Computes the fingerprints only when they are needed: while no content at all is suspected, only those of
// answered requests without a large body are.
class request_content {
public:
    // The guard, the request, its ID and its object must outlive this object. The parts of the request that
    // the fingerprints cover must not change.
    request_content(content_guard& guard, const http_request& request, const std::string& request_id,
                    const std::string& object)
        : m_guard(guard), m_request(request), m_request_id(request_id), m_object(object) {}

    const content_fingerprints& fingerprints();

    // Losses in sequence that are known now.
    content_losses known_losses(base::time_point now);
    // Zero unless the request is quarantined.
    base::duration quarantine_left(base::time_point now);
    // Time from one trial of this quarantined request to the next.
    base::duration trial_interval(base::time_point now);
    // What a trial of this quarantined request would test, if one is due.
    std::optional<steering::crash_count> trial_subject(base::time_point now);
    // See content_guard::begin_trial.
    bool begin_trial(const steering::crash_count& subject, base::time_point now,
                     std::function<void(trial_permit)> done) {
        return m_guard.begin_trial(subject, now, std::move(done));
    }
    // Records a good answer to a trial.
    void release(const steering::crash_count& tested, base::time_point now);

    void record_loss(const content_losses& losses_when_sent, base::time_point now);
    // Records a good answer. Returns whether it has cleared the suspected variant.
    bool record_answer(base::time_point now);
    // Tells the other gateways of losses that this request has recorded.
    void share_losses(base::time_point now);

private:
    content_guard& m_guard;
    const http_request& m_request;
    const std::string& m_request_id;
    const std::string& m_object;
    std::optional<content_fingerprints> m_fingerprints;
};

} // namespace carawayway::gateway

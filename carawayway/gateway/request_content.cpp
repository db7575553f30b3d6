// Computes the fingerprints of a request when the content guard needs it.
#include "carawayway/gateway/request_content.hpp"

#include "carawayway/base/hash.hpp"

namespace carawayway::gateway {

const content_fingerprints& request_content::fingerprints() {
    if (!m_fingerprints) {
        m_fingerprints = fingerprints_of(m_request, m_object);
    }
    return *m_fingerprints;
}

content_losses request_content::known_losses(base::time_point now) {
    return m_guard.is_idle() ? content_losses{} : m_guard.losses(fingerprints(), now);
}

base::duration request_content::quarantine_left(base::time_point now) {
    return m_guard.is_idle() ? base::duration::zero() : m_guard.quarantine_left(fingerprints(), now);
}

base::duration request_content::trial_interval(base::time_point now) {
    return m_guard.trial_interval(fingerprints(), now);
}

std::optional<steering::crash_count> request_content::trial_subject(base::time_point now) {
    return m_guard.trial_subject(fingerprints(), now);
}

void request_content::record_loss(const content_losses& losses_when_sent, base::time_point now) {
    m_guard.record_loss(fingerprints(), losses_when_sent, now);
}

void request_content::release(const steering::crash_count& tested, base::time_point now) {
    m_guard.release(tested, now);
    m_guard.release_others(fingerprints(), now);
    m_guard.record_answer(fingerprints(), now, base::hash_bytes(m_request_id));
}

bool request_content::record_answer(base::time_point now) {
    const bool is_skipped =
        m_guard.is_idle() && m_request.body().size() > content_guard::maximum_body_hashed_in_calm;
    return !is_skipped && m_guard.record_answer(fingerprints(), now, base::hash_bytes(m_request_id));
}

void request_content::share_losses(base::time_point now) {
    if (m_fingerprints) {
        m_guard.share_loss(*m_fingerprints, now);
    }
}

} // namespace carawayway::gateway

// Computes the fingerprint of a request when the content guard needs it.
#include "carawayway/gateway/request_content.hpp"

#include "carawayway/gateway/content_fingerprint.hpp"

namespace carawayway::gateway {

std::uint64_t request_content::fingerprint() {
    if (!m_fingerprint) {
        m_fingerprint = content_fingerprint(m_request, m_object);
    }
    return *m_fingerprint;
}

std::uint32_t request_content::known_losses(base::time_point now) {
    return m_guard.is_idle() ? 0 : m_guard.losses(fingerprint(), now);
}

bool request_content::is_quarantined(base::time_point now) {
    return known_losses(now) >= steering::crash_history::quarantine_losses;
}

base::duration request_content::quarantine_left(base::time_point now) {
    return m_guard.is_idle() ? base::duration::zero() : m_guard.quarantine_left(fingerprint(), now);
}

void request_content::record_loss(std::uint32_t losses_when_sent, base::time_point now) {
    m_guard.record_loss(fingerprint(), losses_when_sent, now);
}

void request_content::record_answer() {
    if (!m_guard.is_idle()) {
        m_guard.record_answer(fingerprint());
    }
}

void request_content::share_losses(base::time_point now) {
    if (m_fingerprint) {
        m_guard.share_loss(*m_fingerprint, now);
    }
}

} // namespace carawayway::gateway

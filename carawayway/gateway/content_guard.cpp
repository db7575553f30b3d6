// Decides when other gateways hear of lost servers, and logs quarantines.
#include "carawayway/gateway/content_guard.hpp"

#include "carawayway/base/log.hpp"

namespace carawayway::gateway {

namespace {

constexpr const char* quarantines_metric = "carawayway_gateway_quarantines_total";
constexpr const char* releases_metric = "carawayway_gateway_quarantine_releases_total";

std::string_view to_text(quarantine_source source) {
    switch (source) {
    case quarantine_source::own_loss:
        return "own-loss";
    case quarantine_source::peer:
        return "peer";
    case quarantine_source::store:
        break;
    }
    return "store";
}

} // namespace

content_guard::content_guard(metrics::metric_registry& metrics, share_function share,
                             publish_function publish, claim_function claim)
    : m_metrics(metrics), m_share(std::move(share)), m_publish(std::move(publish)),
      m_claim(std::move(claim)) {
    m_metrics.declare(releases_metric, metrics::metric_type::counter,
                      "Quarantines that ended with a good answer to a trial, by who made the trial.");
    m_metrics.declare(
        "carawayway_gateway_quarantines_total", metrics::metric_type::counter,
        "Request contents and variants that were quarantined because they crash servers, by source.");
}

// Further losses of one variant do not count against the others.
void content_guard::record_loss(const content_fingerprints& request, const content_losses& losses_when_sent,
                                base::time_point now) {
    const bool is_first_of_variant = m_history.losses(request.variant, now) == 0;
    record_loss_of(request.variant, losses_when_sent.variant, now);
    if (is_first_of_variant) {
        record_loss_of(request.content, losses_when_sent.content, now);
    }
}

void content_guard::record_loss_of(std::uint64_t fingerprint, std::uint32_t losses_when_sent,
                                   base::time_point now) {
    const auto losses_before = m_history.losses(fingerprint, now);
    m_history.record_loss(fingerprint, losses_when_sent, now);
    const auto losses_after = m_history.losses(fingerprint, now);
    m_unshared.insert(fingerprint);
    const bool is_quarantined =
        m_history.suspicion(fingerprint, now) == steering::crash_suspicion::quarantined;
    if (is_quarantined && losses_after > losses_before) {
        report_quarantine(fingerprint, quarantine_source::own_loss);
        defer_trial(fingerprint, now);
        share_loss_of(fingerprint, now);
        m_publish({fingerprint, losses_after, false});
    }
}

void content_guard::share_loss(const content_fingerprints& request, base::time_point now) {
    share_loss_of(request.variant, now);
    share_loss_of(request.content, now);
}

void content_guard::share_loss_of(std::uint64_t fingerprint, base::time_point now) {
    const auto known_losses = m_history.losses(fingerprint, now);
    if (m_unshared.erase(fingerprint) > 0 && known_losses > 0) {
        m_share({fingerprint, known_losses});
    }
}

bool content_guard::record_answer(const content_fingerprints& request, base::time_point now) {
    const bool is_variant_cleared = record_answer_of(request.variant, 1);
    const bool is_only_lost_variant = is_variant_cleared && m_history.losses(request.content, now) == 1;
    if (!record_answer_of(request.content, is_only_lost_variant ? 1 : answers_that_clear_content)) {
        share_loss_of(request.content, now); // remains suspected, so that the other gateways must know
    }
    return is_variant_cleared;
}

bool content_guard::record_answer_of(std::uint64_t fingerprint, std::uint32_t answers_that_clear) {
    if (!m_history.record_answer(fingerprint, answers_that_clear)) {
        return false;
    }
    const bool was_shared = m_unshared.erase(fingerprint) == 0;
    if (was_shared) {
        m_share({fingerprint, 0});
    }
    return true;
}

std::optional<steering::crash_count> content_guard::trial_subject(const content_fingerprints& request,
                                                                  base::time_point now) const {
    const bool is_content =
        m_history.suspicion(request.content, now) == steering::crash_suspicion::quarantined;
    const bool is_variant =
        m_history.suspicion(request.variant, now) == steering::crash_suspicion::quarantined;
    // The content is tested with a variant that has lost no server, as that of any other caller.
    const bool is_conclusive =
        is_variant != is_content && (is_variant || m_history.losses(request.variant, now) == 0);
    const auto subject = is_content ? request.content : request.variant;
    const auto deferred = m_trials_not_before.find(subject);
    const bool is_due = deferred == m_trials_not_before.end() || deferred->second <= now;
    if (!is_conclusive || !is_due || m_claimed_trials.contains(subject)) {
        return std::nullopt;
    }
    return steering::crash_count{subject, m_history.losses(subject, now)};
}

void content_guard::set_trial_claimed(std::uint64_t fingerprint, bool is_claimed) {
    if (is_claimed) {
        m_claimed_trials.insert(fingerprint);
    } else {
        m_claimed_trials.erase(fingerprint);
    }
}

void content_guard::release(const steering::crash_count& tested, base::time_point now) {
    if (m_history.release(tested, now)) {
        report_release(tested.fingerprint, "own-trial");
        m_publish({tested.fingerprint, tested.losses, true});
    }
}

void content_guard::apply(const quarantine_change& change, base::time_point now) {
    const steering::crash_count count{change.fingerprint,
                                      std::max(change.losses, steering::crash_history::quarantine_losses)};
    if (!change.is_released) {
        merge(count, quarantine_source::store, now);
        if (change.losses == 0) {
            defer_trial(change.fingerprint, now);
        }
    } else if (m_history.release(count, now)) {
        report_release(change.fingerprint, "store");
    }
}

void content_guard::merge(const steering::crash_count& received, quarantine_source source,
                          base::time_point now) {
    const auto known_losses = m_history.losses(received.fingerprint, now);
    const bool is_newly_quarantined = m_history.merge(received, now);
    if (source == quarantine_source::peer && received.losses > known_losses) {
        defer_trial(received.fingerprint, now);
    }
    if (is_newly_quarantined) {
        report_quarantine(received.fingerprint, source);
        return;
    }
    base::log(base::log_level::debug, "content-losses-learned",
              {{"content", gateway::to_text(received.fingerprint)},
               {"reported", received.losses},
               {"known", m_history.losses(received.fingerprint, now)}});
}

void content_guard::defer_trial(std::uint64_t fingerprint, base::time_point now) {
    std::erase_if(m_trials_not_before, [now](const auto& item) { return item.second <= now; });
    m_trials_not_before[fingerprint] = now + steering::crash_history::shortest_trial_interval;
}

void content_guard::report_release(std::uint64_t fingerprint, std::string_view source) {
    base::log(base::log_level::warning, "content-released",
              {{"content", gateway::to_text(fingerprint)}, {"source", source}});
    m_metrics.add(releases_metric, {{"source", std::string(source)}});
}

void content_guard::report_quarantine(std::uint64_t fingerprint, quarantine_source source) {
    base::log(base::log_level::warning, "content-quarantined",
              {{"content", gateway::to_text(fingerprint)}, {"source", to_text(source)}});
    m_metrics.add(quarantines_metric, {{"source", std::string(to_text(source))}});
}

} // namespace carawayway::gateway

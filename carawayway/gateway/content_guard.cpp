// Decides when other gateways hear of lost servers, and logs quarantines.
#include "carawayway/gateway/content_guard.hpp"

#include "carawayway/base/log.hpp"

#include <algorithm>

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
    m_metrics.declare(
        releases_metric, metrics::metric_type::counter,
        "Quarantines that ended, by how: a trial of this gateway, a peer, the store, or answers.");
    m_metrics.declare(
        "carawayway_gateway_quarantines_total", metrics::metric_type::counter,
        "Request contents and variants that were quarantined because they crash servers, by source.");
}

base::duration content_guard::quarantine_left(const content_fingerprints& request,
                                              base::time_point now) const {
    auto left = base::duration::zero();
    for (const auto fingerprint : request.all()) {
        left = std::max(left, m_history.quarantine_left(fingerprint, now));
    }
    return left;
}

// Further losses of one variant do not count against the others.
void content_guard::record_loss(const content_fingerprints& request, const content_losses& losses_when_sent,
                                base::time_point now) {
    const bool is_first_of_variant = m_history.losses(request.variant, now) == 0;
    record_loss_of(request.variant, losses_when_sent.variant, now);
    if (!is_first_of_variant) {
        return;
    }
    const auto groups = request.groups();
    for (std::size_t index = 0; index < groups.size(); ++index) {
        if (groups.at(index) != 0) {
            record_loss_of(groups.at(index), losses_when_sent.groups().at(index), now);
        }
    }
}

void content_guard::record_loss_of(std::uint64_t fingerprint, std::uint32_t losses_when_sent,
                                   base::time_point now) {
    const auto losses_before = m_history.losses(fingerprint, now);
    m_history.record_loss(fingerprint, losses_when_sent, now);
    excuse_losses(fingerprint, now);
    const auto losses_after = m_history.losses(fingerprint, now);
    m_unshared.insert(fingerprint);
    if (losses_after == losses_before) {
        return;
    }
    if (is_quarantined(fingerprint, now)) {
        report_quarantine(fingerprint, quarantine_source::own_loss, now);
        defer_trial(fingerprint, now);
        share_loss_of(fingerprint, now);
        publish_quarantine(fingerprint, now);
        return;
    }
    publish_answers(fingerprint, now);
    if (losses_after >= steering::crash_history::quarantine_losses) {
        base::log(base::log_level::info, "content-losses-excused",
                  {{"content", gateway::to_text(fingerprint)},
                   {"losses", losses_after},
                   {"unexcused", m_history.unexcused_losses(fingerprint, now)}});
    }
}

void content_guard::publish_quarantine(std::uint64_t fingerprint, base::time_point now) {
    std::erase_if(m_own_quarantines, [now](const auto& item) {
        return now - item.second >= steering::crash_history_limits{}.expiry;
    });
    m_own_quarantines[fingerprint] = now;
    m_publish({fingerprint, counted_losses(fingerprint, now), false});
}

void content_guard::publish_answers(std::uint64_t fingerprint, base::time_point now) {
    std::erase_if(m_published_answers,
                  [now](const auto& item) { return now - item.second.since >= answers_renewal; });
    const auto answered = m_answered.find(fingerprint, now);
    auto& published = m_published_answers[fingerprint];
    if (steering::excused_losses(answered) > steering::excused_losses(published.answered)) {
        published = {answered, now, true};
        m_publish({fingerprint, 0, false, answered});
    }
}

void content_guard::apply_answers(std::uint64_t fingerprint, steering::variant_set answered,
                                  base::time_point now) {
    m_published_answers[fingerprint] = {answered, now, false};
    const bool was_quarantined = is_quarantined(fingerprint, now);
    m_answered.merge(fingerprint, answered, now);
    excuse_losses(fingerprint, now);
    if (was_quarantined && !is_quarantined(fingerprint, now)) {
        end_quarantine(fingerprint, now);
    }
}

void content_guard::end_quarantine(std::uint64_t fingerprint, base::time_point now) {
    report_release(fingerprint, "answers");
    if (m_own_quarantines.contains(fingerprint)) {
        publish_release(fingerprint, now);
    }
}

void content_guard::publish_release(std::uint64_t fingerprint, base::time_point now) {
    m_own_quarantines.erase(fingerprint);
    const auto losses = m_history.unexcused_losses(fingerprint, now);
    m_share({fingerprint, losses, m_answered.find(fingerprint, now), true});
    m_publish({fingerprint, losses, true});
}

void content_guard::share_loss(const content_fingerprints& request, base::time_point now) {
    for (const auto fingerprint : request.all()) {
        share_loss_of(fingerprint, now);
    }
}

void content_guard::share_loss_of(std::uint64_t fingerprint, base::time_point now) {
    const auto known = count_of(fingerprint, now);
    if (m_unshared.erase(fingerprint) > 0 && known.losses > 0) {
        m_share(known);
    }
}

bool content_guard::record_answer(const content_fingerprints& request, base::time_point now,
                                  std::uint64_t request_hash) {
    record_answered(request.variant, request_hash, now);
    for (const auto group : request.groups()) {
        if (group != 0) {
            record_answered(group, request.variant, now);
        }
    }
    if (is_idle()) {
        return false;
    }
    const bool is_variant_cleared =
        record_answer_of(request.variant, steering::set_of_variant(request_hash), 1, now);
    for (const auto group : request.groups()) {
        const bool is_only_lost_variant = is_variant_cleared && m_history.losses(group, now) == 1;
        if (!record_answer_of(group, steering::set_of_variant(request.variant),
                              is_only_lost_variant ? 1 : answers_that_clear_content, now)) {
            share_loss_of(group, now); // remains suspected, so that the other gateways must know
        }
    }
    return is_variant_cleared;
}

void content_guard::record_answered(std::uint64_t fingerprint, std::uint64_t answered, base::time_point now) {
    if (!m_answered.record(fingerprint, answered, now) || is_idle()) {
        return;
    }
    const bool was_quarantined = is_quarantined(fingerprint, now);
    excuse_losses(fingerprint, now);
    if (was_quarantined && !is_quarantined(fingerprint, now)) {
        end_quarantine(fingerprint, now);
    }
}

bool content_guard::record_answer_of(std::uint64_t fingerprint, steering::variant_set answered,
                                     std::uint32_t answers_that_clear, base::time_point now) {
    const bool was_quarantined = is_quarantined(fingerprint, now);
    if (!m_history.record_answer(fingerprint, answers_that_clear) &&
        !m_history.add_answers(fingerprint, answered, answers_that_clear, now)) {
        if (was_quarantined && !is_quarantined(fingerprint, now)) {
            end_quarantine(fingerprint, now);
        }
        return false;
    }
    const bool was_shared = m_unshared.erase(fingerprint) == 0;
    if (was_shared) {
        m_share({fingerprint, 0});
    }
    return true;
}

std::uint32_t content_guard::counted_losses(std::uint64_t fingerprint, base::time_point now) const {
    constexpr auto most_with_answers =
        steering::crash_history::quarantine_losses + steering::crash_history::maximum_losses_in_trials - 1;
    const auto losses = m_history.unexcused_losses(fingerprint, now);
    const bool is_answered = steering::excused_losses(m_answered.find(fingerprint, now) |
                                                      m_history.answered_since(fingerprint, now)) > 0;
    return is_answered ? std::min(losses, most_with_answers) : losses;
}

std::optional<steering::crash_count> content_guard::trial_subject(const content_fingerprints& request,
                                                                  base::time_point now) const {
    const auto groups = request.groups();
    const auto* const group = std::find_if(
        groups.begin(), groups.end(), [this, now](std::uint64_t item) { return is_quarantined(item, now); });
    const bool is_group = group != groups.end();
    const bool is_variant = is_quarantined(request.variant, now);
    // A group is tested with a variant that has lost no server, as that of any other caller.
    const bool is_conclusive =
        is_variant != is_group && (is_variant || m_history.losses(request.variant, now) == 0);
    const auto subject = is_group ? *group : request.variant;
    const auto all = request.all();
    const bool is_due = std::none_of(all.begin(), all.end(), [this, now](std::uint64_t item) {
        return is_quarantined(item, now) && m_trials.is_deferred(item, now);
    });
    const bool is_available = m_trials.is_available(subject, trial_interval(subject, now), now);
    if (!is_conclusive || !is_due || !is_available) {
        return std::nullopt;
    }
    return steering::crash_count{subject, m_history.unexcused_losses(subject, now)};
}

base::duration content_guard::trial_interval(const content_fingerprints& request,
                                             base::time_point now) const {
    std::uint32_t losses = 0;
    for (const auto fingerprint : request.all()) {
        losses = std::max(losses, counted_losses(fingerprint, now));
    }
    return steering::crash_history::trial_interval(losses);
}

bool content_guard::begin_trial(const steering::crash_count& subject, base::time_point now,
                                std::function<void(trial_permit)> done) {
    if (auto permit = m_trials.take_permit(subject.fingerprint, now)) {
        done(std::move(permit));
        return true;
    }
    return m_claim(
        subject, [this, fingerprint = subject.fingerprint, now, done = std::move(done)](bool is_claimed) {
            if (is_claimed) {
                m_trials.add_claim(fingerprint, now + steering::crash_history::shortest_trial_interval, now);
            }
            done(is_claimed ? m_trials.take_permit(fingerprint, now) : nullptr);
        });
}

void content_guard::release(const steering::crash_count& tested, base::time_point now) {
    if (m_history.release(tested, now)) {
        report_release(tested.fingerprint, "own-trial");
        publish_release(tested.fingerprint, now);
    }
}

void content_guard::release_others(const content_fingerprints& request, base::time_point now) {
    for (const auto fingerprint : request.all()) {
        if (is_quarantined(fingerprint, now)) {
            release(count_of(fingerprint, now), now);
        }
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

std::optional<steering::crash_count> content_guard::reply_to(const steering::crash_count& received,
                                                             base::time_point now) const {
    const auto known = count_of(received.fingerprint, now);
    const bool tells_more =
        (known.answered & ~received.answered) != 0 && !steering::excuses_most(received.answered);
    const bool tells_more_since = (known.answered_since & ~received.answered_since) != 0;
    const bool is_new = received.losses > known.losses && !received.is_released;
    if (!is_new || !(tells_more || tells_more_since)) {
        return std::nullopt;
    }
    return steering::crash_count{received.fingerprint, received.losses, known.answered, false,
                                 known.answered_since};
}

void content_guard::merge(const steering::crash_count& received, quarantine_source source,
                          base::time_point now) {
    const auto known_losses = m_history.losses(received.fingerprint, now);
    const bool was_quarantined = is_quarantined(received.fingerprint, now);
    m_answered.merge(received.fingerprint, received.answered, now);
    if (received.is_released) {
        excuse_losses(received.fingerprint, now);
        if (m_history.release(received, now)) {
            report_release(received.fingerprint, "peer");
        }
        return;
    }
    m_history.merge(received, now);
    excuse_losses(received.fingerprint, now);
    const bool is_cleared =
        m_history.add_answers(received.fingerprint, received.answered_since, answers_that_clear_content, now);
    const auto published = m_published_answers.find(received.fingerprint);
    if (published != m_published_answers.end() && published->second.is_own) {
        publish_answers(received.fingerprint, now);
    }
    if (is_cleared && received.losses == known_losses) { // replies to this gateway have told enough
        m_share({received.fingerprint, 0});
    }
    if (source == quarantine_source::peer && received.losses > known_losses) {
        defer_trial(received.fingerprint, now);
    }
    if (!was_quarantined && is_quarantined(received.fingerprint, now)) {
        report_quarantine(received.fingerprint, source, now);
        return;
    }
    if (was_quarantined && !is_quarantined(received.fingerprint, now)) {
        end_quarantine(received.fingerprint, now);
        return;
    }
    base::log(base::log_level::debug, "content-losses-learned",
              {{"content", gateway::to_text(received.fingerprint)},
               {"reported", received.losses},
               {"known", m_history.losses(received.fingerprint, now)}});
}

void content_guard::report_release(std::uint64_t fingerprint, std::string_view source) {
    base::log(base::log_level::warning, "content-released",
              {{"content", gateway::to_text(fingerprint)}, {"source", source}});
    m_metrics.add(releases_metric, {{"source", std::string(source)}});
}

void content_guard::report_quarantine(std::uint64_t fingerprint, quarantine_source source,
                                      base::time_point now) {
    base::log(base::log_level::warning, "content-quarantined",
              {{"content", gateway::to_text(fingerprint)},
               {"source", to_text(source)},
               {"losses", m_history.losses(fingerprint, now)},
               {"unexcused", m_history.unexcused_losses(fingerprint, now)}});
    m_metrics.add(quarantines_metric, {{"source", std::string(to_text(source))}});
}

} // namespace carawayway::gateway

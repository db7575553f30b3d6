// Controls the rejected part of the requests by the reported load.
#include "carawayway/placement/load_shedder.hpp"

#include <algorithm>
#include <cmath>

namespace carawayway::placement {

namespace {

double weight_of(base::duration elapsed, base::duration time_constant) {
    return 1.0 - std::exp(-std::max(0.0, base::to_seconds(elapsed)) / base::to_seconds(time_constant));
}

} // namespace

void load_shedder::record_load(const std::string& service, double load, base::time_point now) {
    auto& current = m_states[service];
    const bool is_queued =
        current.slack_seconds > 0.0 && (load - 1.0) * current.run_seconds > current.slack_seconds;
    const double weight =
        std::min(largest_report_weight, weight_of(now - current.load_reported_at, load_time_constant));
    current.queued_share += weight * ((is_queued ? 1.0 : 0.0) - current.queued_share);
    current.load_reported_at = now;
}

void load_shedder::update(state& current, const arrival& arrived, base::time_point now) {
    const auto elapsed = now - current.updated_at;
    current.updated_at = now;
    const double weight = weight_of(elapsed, demand_time_constant);
    for (auto& [rank, count] : current.recent_requests) {
        count *= 1.0 - weight;
    }
    const double slack = base::to_seconds(arrived.slack);
    if (slack > 0.0) {
        const bool is_first = current.slack_seconds == 0.0;
        current.slack_seconds =
            is_first ? slack : current.slack_seconds + weight * (slack - current.slack_seconds);
    }
    current.run_seconds = base::to_seconds(arrived.mean_run_time);
    double error = -1.0;
    if (now - current.load_reported_at <= maximum_report_age) {
        error = (current.queued_share - permitted_share) / (1.0 - permitted_share);
    }
    constexpr double longest_step_seconds = 0.2;
    const double step = std::min(base::to_seconds(elapsed), longest_step_seconds);
    current.integral =
        std::clamp(current.integral + integral_gain_per_second * error * step, 0.0, largest_rejected_part);
    current.rejected_part =
        std::clamp(current.integral + proportional_gain * error, 0.0, largest_rejected_part);
}

bool load_shedder::rejects(const arrival& arrived, double draw, base::time_point now) {
    auto& current = m_states[arrived.service];
    update(current, arrived, now);
    const request_rank own{arrived.priority, arrived.slack < base::duration::zero()};
    current.recent_requests[own] += 1.0;
    double rejected_before = 0.0;
    double all = 0.0;
    for (const auto& [rank, count] : current.recent_requests) {
        rejected_before += rank > own ? count : 0.0;
        all += count;
    }
    rejected_before *= largest_rejected_part;
    const double rejected = (current.rejected_part * all - rejected_before) / current.recent_requests.at(own);
    return draw < std::min(rejected, largest_rejected_part);
}

double load_shedder::rejected_part(const std::string& service, base::time_point now) const {
    const auto found = m_states.find(service);
    const bool is_current = found != m_states.end() && now - found->second.updated_at <= maximum_report_age;
    return is_current ? found->second.rejected_part : 0.0;
}

} // namespace carawayway::placement

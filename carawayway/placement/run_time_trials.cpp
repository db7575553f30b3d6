// Remembers the last answer and the last trial of each route and cache state.
#include "carawayway/placement/run_time_trials.hpp"

namespace carawayway::placement {

bool run_time_trials::may_begin(const std::string& route, object_cache_state cache_state,
                                base::duration time_left, base::time_point now) const {
    const auto* const known = find(route, cache_state);
    if (known == nullptr) {
        return true;
    }
    if (known->has_been_answered && now - known->answered_at < confirmation_lifetime) {
        return false;
    }
    const bool is_recent = known->is_open && now - known->begun_at < confirmation_lifetime;
    return !is_recent ||
           base::to_seconds(time_left) >= minimum_time_ratio * base::to_seconds(known->time_left);
}

void run_time_trials::begin(const std::string& route, object_cache_state cache_state,
                            base::duration time_left, base::time_point now) {
    auto& begun = at(route, cache_state);
    begun.begun_at = now;
    begun.time_left = time_left;
    begun.is_open = true;
}

bool run_time_trials::is_open(const std::string& route, object_cache_state cache_state) const {
    const auto* const known = find(route, cache_state);
    return known != nullptr && known->is_open;
}

void run_time_trials::record_answer(const std::string& route, object_cache_state cache_state,
                                    base::time_point now) {
    auto& answered = at(route, cache_state);
    answered.answered_at = now;
    answered.has_been_answered = true;
    answered.is_open = false;
}

const run_time_trials::record* run_time_trials::find(const std::string& route,
                                                     object_cache_state cache_state) const {
    const auto found = m_by_route.find(route);
    if (found == m_by_route.end()) {
        return nullptr;
    }
    return cache_state == object_cache_state::cached ? &found->second.cached : &found->second.not_cached;
}

run_time_trials::record& run_time_trials::at(const std::string& route, object_cache_state cache_state) {
    auto& records = m_by_route[route];
    return cache_state == object_cache_state::cached ? records.cached : records.not_cached;
}

} // namespace carawayway::placement

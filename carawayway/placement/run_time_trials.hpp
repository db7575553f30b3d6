// Lets single requests through that are expected to take too long, to find out whether they still do.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/placement/run_time_estimator.hpp"

#include <string>
#include <unordered_map>

namespace carawayway::placement {

// A run time is only learned from answers, so that an estimate that keeps all requests of a route from being
// sent would never change. It may come from another route, from objects in the other cache state or from a
// time in which the servers were slow. Without a recent answer that confirms it, one request at a time tests
// it.
class run_time_trials {
public:
    // For this long, an answer confirms the estimate, and a trial keeps others from being made.
    static constexpr base::duration confirmation_lifetime = std::chrono::seconds{2};
    // A request with this many times the time that the last trial had need not wait: a caller with a short
    // deadline must not use up the trials.
    static constexpr double minimum_time_ratio = 1.5;

    // Whether a request with this time until its deadline may be sent as a trial.
    bool may_begin(const std::string& route, object_cache_state cache_state, base::duration time_left,
                   base::time_point now) const;
    void begin(const std::string& route, object_cache_state cache_state, base::duration time_left,
               base::time_point now);

    // Whether no answer has come since the last trial began.
    bool is_open(const std::string& route, object_cache_state cache_state) const;
    // Records an answer with a run time that is known.
    void record_answer(const std::string& route, object_cache_state cache_state, base::time_point now);

private:
    struct record {
        base::time_point answered_at{};
        base::time_point begun_at{};    // of the last trial
        base::duration time_left{};     // of the last trial
        bool has_been_answered = false; // at least once
        bool is_open = false;
    };

    struct records_by_cache_state {
        record cached;
        record not_cached;
    };

    const record* find(const std::string& route, object_cache_state cache_state) const;
    record& at(const std::string& route, object_cache_state cache_state);

    std::unordered_map<std::string, records_by_cache_state> m_by_route;
};

} // namespace carawayway::placement

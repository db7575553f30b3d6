// Estimates the latency and cost of each candidate server and chooses among them.
#include "carawayway/placement/server_selector.hpp"

#include <algorithm>
#include <cmath>

namespace carawayway::placement {

namespace {

// Number of servers that are considered for an object in the own region, and in all other regions together.
// More would spread an object over servers that do not have it cached, and evict other objects from their
// caches.
constexpr std::size_t own_region_candidates = 2;
constexpr std::size_t other_region_candidates = 2;

// Traffic between regions is charged, so a server of the own region wins unless another one is clearly
// faster.
constexpr base::duration other_region_cost = std::chrono::milliseconds{40};

// A cache miss occupies a slot for longer and so delays other requests too. This many times its additional
// run time is added to the cost.
constexpr double cache_miss_cost_factor = 2.0;

// A server other than the preferred one must be faster by this much, so that all gateways choose the same
// server while there is no load.
constexpr base::duration other_server_cost = std::chrono::milliseconds{8};

// Objects are diverted from the first to the second choice of a region while the load of the first one is
// high and that of the second one lower: hashing gives some servers half as many objects again as others.
// Load is requests in progress divided by slots. The share changes slowly, since each diverted object costs a
// cache miss.
constexpr double high_server_load = 0.9;
constexpr double low_server_load = 0.45;
constexpr double minimum_server_load_difference = 0.2;
constexpr double server_share_rise_per_second = 0.12;
constexpr double server_share_fall_per_second = 0.03;

// A cold server takes about this many times as long for a request.
constexpr double cold_server_slowdown = 2.0;

// The weight of a load report halves in each period of this length after the first one.
constexpr base::duration report_half_life = std::chrono::milliseconds{500};

// Cost of a failed answer, after which the request is sent again or lost.
constexpr base::duration failure_cost = std::chrono::milliseconds{1000};
// A failure rate halves in this time without a failure, so that a server that recovered is tried again.
constexpr double failure_half_life_seconds = 2.0;

// An answer that is expected this short before the deadline is not worth the work.
constexpr base::duration completion_margin = std::chrono::milliseconds{20};

// Longest wait for a slot, as a share of the time until the deadline, with which a run time is tested.
constexpr double longest_trial_wait_share = 0.5;

// Weight of one observation in the moving average of a server's slowdown, and the range to which observations
// are clamped.
constexpr double slowdown_weight = 0.2;
constexpr double minimum_slowdown = 0.5;
constexpr double maximum_slowdown = 8.0;
// The deviation of a slowdown from 1 halves in this time without observations, so that a server that
// recovered is tried again.
constexpr double slowdown_half_life_seconds = 3.0;

// The deviation of the time that work takes on a server's machine from the usual one halves in this time
// without a report, since it changes many times per second.
constexpr base::duration work_time_half_life = std::chrono::milliseconds{400};

// The rank of a server for an object in rendezvous hashing.
std::uint64_t object_server_rank(std::uint64_t object_hash, std::uint64_t server_hash) {
    std::uint64_t value = object_hash ^ (server_hash * 0x9e3779b97f4a7c15ULL);
    value ^= value >> 30U;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27U;
    value *= 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

base::duration scaled(base::duration value, double factor) {
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double, std::nano>(static_cast<double>(value.count()) * factor));
}

// How slow the server's machine is now, as the server has told.
double current_work_time_factor(const server_state& server, base::time_point now) {
    const double age = base::to_seconds(now - server.reported_at) / base::to_seconds(work_time_half_life);
    return 1.0 + (server.work_time_factor.value_or(1.0) - 1.0) * std::exp2(-std::max(0.0, age));
}

double current_slowdown(const server_state& server, base::time_point now) {
    const double age = base::to_seconds(now - server.slowdown_updated_at);
    const double observed = 1.0 + (server.slowdown - 1.0) * std::exp2(-age / slowdown_half_life_seconds);
    return observed * current_work_time_factor(server, now);
}

// At most a third of the time that the caller has left, and different for each request, so that callers do
// not return all at once.
base::duration spread_retry_after(const placement_request& request) {
    constexpr double shortest_part = 0.125;
    constexpr double longest_part = 1.0 / 3.0;
    constexpr double draw_steps = 4096.0; // the rejected requests have low draws, but any remainder
    const double spread = std::fmod(request.draw.value_or(0.0) * draw_steps, 1.0);
    const auto wait = scaled(request.time_left, shortest_part + (longest_part - shortest_part) * spread);
    return std::min(scaled(request.time_left, longest_part),
                    std::max(server_selector::minimum_retry_after, wait));
}

} // namespace

void server_selector::observe(server_state& server, const std::string& route, const std::string& service,
                              object_cache_state cache_state, base::duration run_time, base::time_point now) {
    // The answer has told how slow the machine was; the rest is the server's own.
    run_time = scaled(run_time, 1.0 / server.work_time_factor.value_or(1.0));
    const bool ends_trial = m_trials.is_open(route, cache_state);
    m_trials.record_answer(route, cache_state, now);
    if (ends_trial) {
        // The estimate was wrong, or that of the server's speed, and is now what this server takes.
        m_run_times.replace(route, cache_state, run_time);
        server.slowdown = 1.0;
        server.slowdown_updated_at = now;
        return;
    }
    const double expected = base::to_seconds(m_run_times.expected(route, service, cache_state));
    m_run_times.observe(route, service, cache_state, run_time);
    if (expected <= 0.0) {
        return;
    }
    const double ratio =
        std::clamp(base::to_seconds(run_time) / expected, minimum_slowdown, maximum_slowdown);
    server.slowdown = current_slowdown(server, now) / current_work_time_factor(server, now);
    server.slowdown += slowdown_weight * (ratio - server.slowdown);
    server.slowdown_updated_at = now;
}

void server_selector::observe_delayed(const std::string& route, const std::string& service,
                                      object_cache_state cache_state, base::duration run_time,
                                      base::time_point now) {
    if (m_trials.is_open(route, cache_state) &&
        run_time < m_run_times.expected(route, service, cache_state)) {
        m_trials.record_answer(route, cache_state, now);
        m_run_times.replace(route, cache_state, run_time);
    }
}

base::duration server_selector::expected_wait(const server_state& server, base::time_point now) const {
    const double age = base::to_seconds(now - server.reported_at) / base::to_seconds(report_half_life);
    const double others = server.others_in_flight * std::exp2(-std::max(0.0, age - 1.0));
    const double load = others + server.own_in_flight;
    const double slots = std::max(1U, server.registration.slots);
    const double excess = load + 1.0 - slots;
    if (excess <= 0.0) {
        return base::duration::zero();
    }
    return scaled(m_run_times.mean_run_time(server.registration.service),
                  current_slowdown(server, now) * excess / slots);
}

server_selector::server_shortlist server_selector::shortlist(const placement_request& request,
                                                             base::time_point now) const {
    struct ranked {
        std::uint64_t rank;
        server_handle server;
    };
    std::vector<ranked> all;
    for (auto& server : m_servers.candidates(request.service)) {
        const bool tried = std::find(request.tried_servers.begin(), request.tried_servers.end(),
                                     server->registration.id) != request.tried_servers.end();
        if (request.regions.allows(server->region) && !tried) {
            all.push_back({object_server_rank(request.object_hash, server->id_hash), std::move(server)});
        }
    }
    std::sort(all.begin(), all.end(),
              [](const ranked& left, const ranked& right) { return left.rank > right.rank; });
    const auto& own = m_servers.own_locality();
    std::size_t taken_in_own_region = 0;
    std::size_t taken_elsewhere = 0;
    auto& rate_limits = m_servers.rate_limits();
    server_shortlist shortlisted;
    for (auto& [rank, server] : all) {
        if (server_table::is_resting(*server, now)) {
            const auto wait = std::max<base::duration>(minimum_retry_after, server->rests_until - now);
            shortlisted.resting_for = std::min(wait, shortlisted.resting_for.value_or(wait));
            continue;
        }
        const auto& id = server->registration.id;
        const bool is_rate_limited = rate_limits.is_limited(id, now);
        if (is_rate_limited && !rate_limits.allows(id, now)) {
            const auto wait = rate_limits.time_until_allowed(id, now);
            shortlisted.rate_limited_for = std::min(wait, shortlisted.rate_limited_for.value_or(wait));
            continue;
        }
        const bool is_own_region = server->region == own.region;
        auto& taken = is_own_region ? taken_in_own_region : taken_elsewhere;
        if (taken < (is_own_region ? own_region_candidates : other_region_candidates)) {
            ++taken;
            shortlisted.servers.push_back(server);
        } else if (is_rate_limited && is_own_region) {
            shortlisted.servers.push_back(server);
        }
    }
    return shortlisted;
}

base::duration server_selector::additional_cost(const server_state& preferred,
                                                const server_state& other) const {
    const auto& own_region = m_servers.own_locality().region;
    if (other.region != own_region) {
        return other_region_cost;
    }
    if (preferred.region == own_region) {
        return other_server_cost;
    }
    // The round trip to the preferred server is added, so that diverted objects stay in the other region as
    // firmly as the remaining objects stay in the own one.
    return other_region_cost + m_round_trips.expected(preferred.registration.failure_domain, false);
}

server_selector::scored_server server_selector::evaluate(const placement_request& request,
                                                         server_handle server, const server_state& preferred,
                                                         base::time_point now) const {
    const auto& own = m_servers.own_locality();
    scored_server result;
    result.cache_state = m_affinity.contains(request.object_hash, server->id_hash)
                             ? object_cache_state::cached
                             : object_cache_state::not_cached;
    double factor = current_slowdown(*server, now);
    if (m_servers.is_cold(*server, now)) {
        factor = std::max(factor, cold_server_slowdown);
    }
    result.expected_latency =
        m_round_trips.expected(server->registration.failure_domain, server->region == own.region) +
        expected_wait(*server, now) +
        scaled(m_run_times.expected(request.route.name, request.service, result.cache_state), factor);
    const double quiet_seconds = base::to_seconds(now - server->last_failure_at);
    const double failure_rate = server->failure_rate * std::exp2(-quiet_seconds / failure_half_life_seconds);
    result.cost = result.expected_latency + scaled(failure_cost, failure_rate);
    const auto cache_miss_time =
        m_run_times.expected(request.route.name, request.service, object_cache_state::not_cached) -
        m_run_times.expected(request.route.name, request.service, object_cache_state::cached);
    if (result.cache_state == object_cache_state::not_cached) {
        // At the preferred server the additional run time of a cache miss does not count: the following
        // requests find the object cached.
        result.cost += scaled(std::max(cache_miss_time, base::duration::zero()),
                              server.get() == &preferred ? -1.0 : cache_miss_cost_factor);
    }
    if (server.get() != &preferred) {
        result.cost += additional_cost(preferred, *server);
    }
    result.server = std::move(server);
    return result;
}

// The first choice in the own region, or in another region for an object that is diverted there.
const server_state* server_selector::preferred_server(const placement_request& request,
                                                      const std::vector<server_handle>& shortlisted,
                                                      base::time_point now) const {
    const bool is_diverted =
        request.has_object && m_spillover.is_diverted(request.service, request.object_hash, now);
    for (const auto& server : shortlisted) {
        if ((server->region == m_servers.own_locality().region) != is_diverted) {
            return server.get();
        }
    }
    return shortlisted.empty() ? nullptr : shortlisted.front().get();
}

void server_selector::order_by_load(const placement_request& request, std::vector<server_handle>& shortlisted,
                                    base::time_point now) const {
    const auto in_own_region = [this](const server_handle& server) {
        return server->region == m_servers.own_locality().region;
    };
    const auto first = std::find_if(shortlisted.begin(), shortlisted.end(), in_own_region);
    if (first == shortlisted.end()) {
        return;
    }
    const auto second = std::find_if(std::next(first), shortlisted.end(), in_own_region);
    if (second != shortlisted.end() && is_diverted_to_second(request, **first, **second, now)) {
        std::iter_swap(first, second);
    }
}

bool server_selector::is_diverted_to_second(const placement_request& request, server_state& first,
                                            const server_state& second, base::time_point now) const {
    const double other_load = second.load.is_current(now) ? second.load.load() : 0.0;
    double rate_per_second = 0.0;
    if (first.load.is_current(now)) {
        const double load = first.load.load();
        if (load > high_server_load && load > other_load + minimum_server_load_difference) {
            rate_per_second = server_share_rise_per_second;
        } else if (load < low_server_load || other_load > load + minimum_server_load_difference) {
            rate_per_second = -server_share_fall_per_second;
        }
    }
    first.diverted.adjust(rate_per_second, now);
    return first.diverted.contains(request.object_hash, first.id_hash);
}

region_spillover::region_proportions
server_selector::own_region_proportions(const std::string& service) const {
    const auto& own_region = m_servers.own_locality().region;
    double own_slots = 0.0;
    double all_slots = 0.0;
    for (const auto& server : m_servers.candidates(service)) {
        all_slots += server->registration.slots;
        own_slots += server->region == own_region ? server->registration.slots : 0.0;
    }
    double own_gateways = 0.0;
    const auto& gateways = m_servers.gateways().all();
    for (const auto& [name, registration] : gateways) {
        own_gateways += registration.region == own_region ? 1.0 : 0.0;
    }
    if (all_slots <= 0.0 || gateways.empty()) {
        return {};
    }
    return {own_gateways / static_cast<double>(gateways.size()), own_slots / all_slots};
}

placement_result server_selector::refused_without_server(const server_shortlist& shortlisted) {
    const auto& resting_for = shortlisted.resting_for;
    const auto& rate_limited_for = shortlisted.rate_limited_for;
    if (resting_for && (!rate_limited_for || *resting_for <= *rate_limited_for)) {
        return {nullptr, refusal::resting, {}, {}, *resting_for};
    }
    if (rate_limited_for) {
        return {nullptr, refusal::rate_limit, {}, {}, std::max(minimum_retry_after, *rate_limited_for)};
    }
    return {nullptr, refusal::no_server, {}, {}, minimum_retry_after};
}

void server_selector::record_load(const std::string& service, const std::string& region, double load,
                                  base::time_point now) {
    m_spillover.record_load(service, region, load, now);
    m_shedder.record_load(service, load, now);
}

double server_selector::rejected_part(const std::string& service, base::time_point now) const {
    return m_shedder.rejected_part(service, now);
}

bool server_selector::is_shed(const placement_request& request, const server_state& server,
                              base::time_point now) {
    if (!request.draw) {
        return false;
    }
    // The mean run time: whether the server has the object cached is mostly known to other gateways.
    const auto run_time = m_run_times.mean_run_time(request.service);
    const auto round_trip = m_round_trips.expected(server.registration.failure_domain,
                                                   server.region == m_servers.own_locality().region);
    return m_shedder.rejects(
        {request.service, request.priority, request.target_time_left - round_trip - run_time, run_time},
        *request.draw, now);
}

bool server_selector::try_acquire(const scored_server& item, region_shift_reason reason,
                                  base::time_point now) {
    const auto& server = *item.server;
    if (reason == region_shift_reason::urgent && !m_shift_limiter.allows(server.region, now)) {
        return false;
    }
    if (m_servers.is_cold(server, now) && !m_servers.try_acquire_cold_send(*item.server, now)) {
        return false;
    }
    if (!m_servers.rate_limits().try_acquire(server.registration.id, now)) {
        return false;
    }
    m_shift_limiter.record_request(server.region, reason, now);
    return true;
}

bool server_selector::may_test_run_time(const placement_request& request, const scored_server& item,
                                        base::time_point now) const {
    const auto longest_wait = scaled(request.time_left, longest_trial_wait_share);
    return request.allows_trial && !m_servers.is_cold(*item.server, now) &&
           item.expected_latency + completion_margin > request.time_left &&
           expected_wait(*item.server, now) <= longest_wait &&
           m_trials.may_begin(request.route.name, item.cache_state, request.time_left, now);
}

placement_result server_selector::refused_as_too_late(const placement_request& request,
                                                      const std::vector<scored_server>& scored_servers,
                                                      base::time_point now) const {
    const auto earliest = *std::min_element(scored_servers.begin(), scored_servers.end(),
                                            [](const scored_server& left, const scored_server& right) {
                                                return left.expected_latency < right.expected_latency;
                                            });
    const auto& route = request.route.name;
    const latency_estimate estimate{
        expected_wait(*earliest.server, now),
        m_run_times.expected(route, request.service, earliest.cache_state),
        m_run_times.basis(route, request.service, earliest.cache_state),
    };
    return {nullptr,
            refusal::too_late,
            earliest.cache_state,
            earliest.expected_latency,
            std::max(minimum_retry_after, earliest.expected_latency / 4),
            estimate};
}

placement_result server_selector::choose(const placement_request& request, base::time_point now) {
    std::vector<scored_server> scored_servers;
    auto shortlisted = shortlist(request, now);
    if (request.has_object) {
        order_by_load(request, shortlisted.servers, now);
    }
    if (!m_spillover.is_initialized(request.service)) {
        m_spillover.initialize(request.service, own_region_proportions(request.service), now);
    }
    const auto* const preferred = preferred_server(request, shortlisted.servers, now);
    scored_servers.reserve(shortlisted.servers.size());
    for (const auto& server : shortlisted.servers) {
        scored_servers.push_back(evaluate(request, server, *preferred, now));
    }
    if (scored_servers.empty()) {
        return refused_without_server(shortlisted);
    }
    std::sort(scored_servers.begin(), scored_servers.end(),
              [](const scored_server& left, const scored_server& right) { return left.cost < right.cost; });
    const auto& best = scored_servers.front();
    const bool late = best.expected_latency > request.target_time_left;
    m_overload.record_request(request.service, late, now);
    if (late && m_overload.is_overloaded(request.service) &&
        expected_wait(*best.server, now) > base::duration::zero()) {
        return {nullptr, refusal::overload, {}, best.expected_latency, request.time_left / 4};
    }
    if (is_shed(request, *best.server, now)) {
        return {nullptr, refusal::overload, {}, best.expected_latency, spread_retry_after(request)};
    }
    // A region without usable servers shifts all its requests at once, whatever the cap.
    const bool has_own_region_candidate =
        std::any_of(scored_servers.begin(), scored_servers.end(), [this](const scored_server& item) {
            return item.server->region == m_servers.own_locality().region;
        });
    const auto try_send = [&](const scored_server& item) {
        const bool is_planned = item.server.get() == preferred || !has_own_region_candidate;
        return try_acquire(item, is_planned ? region_shift_reason::planned : region_shift_reason::urgent,
                           now);
    };
    for (const auto& item : scored_servers) {
        const bool in_time = item.expected_latency + completion_margin <= request.time_left;
        if (in_time && try_send(item)) {
            return {item.server, refusal::none, item.cache_state, item.expected_latency, {}};
        }
    }
    for (const auto& item : scored_servers) {
        if (may_test_run_time(request, item, now) && try_send(item)) {
            m_trials.begin(request.route.name, item.cache_state, request.time_left, now);
            return {item.server, refusal::none, item.cache_state, item.expected_latency, {}, {}, true};
        }
    }
    if (shortlisted.rate_limited_for) {
        return refused_without_server(shortlisted);
    }
    return refused_as_too_late(request, scored_servers, now);
}

} // namespace carawayway::placement

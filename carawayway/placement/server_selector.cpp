// Expected completion of each candidate and the choice among them.
#include "carawayway/placement/server_selector.hpp"

#include <algorithm>
#include <cmath>

namespace carawayway::placement {

namespace {

// Servers that are considered for an object in the own region and in all others together. More would spread
// an object over servers that do not hold it, and make each server forget the objects that it holds.
constexpr std::size_t own_region_options = 2;
constexpr std::size_t other_region_options = 2;

// Bytes across regions are priced; this makes a near server win unless a far one is clearly faster.
constexpr base::duration other_region_cost = std::chrono::milliseconds{40};

// A run at a server that does not hold the object takes a slot longer, which delays other requests too. Part
// of the additional run time that is counted again.
constexpr double first_run_cost = 2.0;

// Another server than the preferred one must be faster by this much, so that all gateways agree while there
// is no load.
constexpr base::duration other_server_cost = std::chrono::milliseconds{8};

// Objects move from the first to the second choice of a region while the first one is busy and the second one
// is less so. Hashing gives some servers half as many objects again as others. Loads are requests in progress
// over slots; the shares change slowly, since each move costs a first run.
constexpr double busy_server = 0.9;
constexpr double idle_server = 0.45;
constexpr double least_server_difference = 0.2;
constexpr double server_rise_per_second = 0.12;
constexpr double server_fall_per_second = 0.03;

// A server that has just started takes about this many times as long.
constexpr double cold_slowness = 2.0;

// Reports older than this lose weight, by the same time again.
constexpr base::duration report_lifetime = std::chrono::milliseconds{500};

// Time that a failed answer costs: the request is sent again or lost.
constexpr base::duration failure_cost = std::chrono::milliseconds{1000};
// A failure rate halves in this time without requests, so that a server that recovered is tried again.
constexpr double failure_half_life_seconds = 2.0;

// Answers that would arrive in the last moments are not worth the work.
constexpr base::duration completion_margin = std::chrono::milliseconds{20};

// Weight of one observation in the moving average of a server's slowness, and the range that is believed.
constexpr double slowness_weight = 0.2;
constexpr double least_slowness = 0.5;
constexpr double most_slowness = 8.0;
// Slowness halves towards 1 in this time without observations, so that a server that recovered is tried
// again.
constexpr double slowness_half_life_seconds = 3.0;

std::uint64_t mix(std::uint64_t object, std::uint64_t server) {
    std::uint64_t value = object ^ (server * 0x9e3779b97f4a7c15ULL);
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

double slowness_now(const server_state& server, base::time_point now) {
    const double age = base::to_seconds(now - server.slowness_at);
    return 1.0 + (server.slowness - 1.0) * std::exp2(-age / slowness_half_life_seconds);
}

} // namespace

void server_selector::observe(server_state& server, const std::string& route, const std::string& service,
                              object_cache_state warmth, base::duration run_time, base::time_point now) {
    const double expected = base::to_seconds(m_times.expected(route, service, warmth));
    m_times.observe(route, service, warmth, run_time);
    if (expected <= 0.0) {
        return;
    }
    const double ratio = std::clamp(base::to_seconds(run_time) / expected, least_slowness, most_slowness);
    server.slowness = slowness_now(server, now);
    server.slowness += slowness_weight * (ratio - server.slowness);
    server.slowness_at = now;
}

base::duration server_selector::expected_wait(const server_state& server, base::time_point now) const {
    const double age = base::to_seconds(now - server.reported_at) / base::to_seconds(report_lifetime);
    const double others = server.others_reported * std::exp2(-std::max(0.0, age - 1.0));
    const double load = others + server.own_in_flight;
    const double slots = std::max(1U, server.registration.slots);
    const double excess = load + 1.0 - slots;
    if (excess <= 0.0) {
        return base::duration::zero();
    }
    return scaled(m_times.mean_of_service(server.registration.service),
                  slowness_now(server, now) * excess / slots);
}

std::vector<server_handle> server_selector::shortlist(const placement_request& request) const {
    struct ranked {
        std::uint64_t rank;
        server_handle server;
    };
    std::vector<ranked> all;
    for (auto& server : m_servers.candidates(request.service)) {
        const auto& allowed = request.route.allowed_regions;
        const bool may_serve =
            allowed.empty() || std::find(allowed.begin(), allowed.end(), server->region) != allowed.end();
        const bool tried = std::find(request.tried.begin(), request.tried.end(), server->registration.id) !=
                           request.tried.end();
        if (may_serve && !tried) {
            all.push_back({mix(request.object, server->id_hash), std::move(server)});
        }
    }
    std::sort(all.begin(), all.end(),
              [](const ranked& left, const ranked& right) { return left.rank > right.rank; });
    const auto& own = m_servers.own_locality();
    std::size_t taken_in_own_region = 0;
    std::size_t taken_elsewhere = 0;
    std::vector<server_handle> listed;
    for (auto& [rank, server] : all) {
        const bool near = server->region == own.region;
        auto& taken = near ? taken_in_own_region : taken_elsewhere;
        if (taken < (near ? own_region_options : other_region_options)) {
            ++taken;
            listed.push_back(server);
        }
    }
    return listed;
}

base::duration server_selector::cost_beside(const server_state& preferred, const server_state& other) const {
    const auto& own_region = m_servers.own_locality().region;
    if (other.region != own_region) {
        return other_region_cost;
    }
    if (preferred.region == own_region) {
        return other_server_cost;
    }
    // The trip to the preferred server is made up for, so that objects that move stay away as firmly as the
    // others stay at home.
    return other_region_cost + m_trips.expected(preferred.registration.failure_domain, false);
}

server_selector::option server_selector::evaluate(const placement_request& request, server_handle server,
                                                  const server_state& preferred, base::time_point now) const {
    const auto& own = m_servers.own_locality();
    option made;
    made.cache_state = m_affinity.contains(request.object, server->id_hash) ? object_cache_state::cached
                                                                            : object_cache_state::not_cached;
    double factor = slowness_now(*server, now);
    if (m_servers.is_cold(*server, now)) {
        factor = std::max(factor, cold_slowness);
    }
    made.expected_latency =
        m_trips.expected(server->registration.failure_domain, server->region == own.region) +
        expected_wait(*server, now) +
        scaled(m_times.expected(request.route.name, request.service, made.cache_state), factor);
    const double quiet_seconds = base::to_seconds(now - server->last_failure);
    const double failure_rate = server->failure_rate * std::exp2(-quiet_seconds / failure_half_life_seconds);
    made.cost = made.expected_latency + scaled(failure_cost, failure_rate);
    const auto first_run =
        m_times.expected(request.route.name, request.service, object_cache_state::not_cached) -
        m_times.expected(request.route.name, request.service, object_cache_state::cached);
    if (made.cache_state == object_cache_state::not_cached) {
        // The first run at the preferred server is not counted: it serves the requests that follow.
        made.cost += scaled(std::max(first_run, base::duration::zero()),
                            server.get() == &preferred ? -1.0 : first_run_cost);
    }
    if (server.get() != &preferred) {
        made.cost += cost_beside(preferred, *server);
    }
    made.server = std::move(server);
    return made;
}

// The first choice of the own region, or the server elsewhere that takes the objects that move.
const server_state* server_selector::preferred(const placement_request& request,
                                               const std::vector<server_handle>& listed,
                                               base::time_point now) const {
    const bool moves = request.concerns_object && m_spill.moves(request.service, request.object, now);
    for (const auto& server : listed) {
        if ((server->region == m_servers.own_locality().region) != moves) {
            return server.get();
        }
    }
    return listed.empty() ? nullptr : listed.front().get();
}

void server_selector::order_by_load(const placement_request& request, std::vector<server_handle>& listed,
                                    base::time_point now) const {
    const auto in_own_region = [this](const server_handle& server) {
        return server->region == m_servers.own_locality().region;
    };
    const auto first = std::find_if(listed.begin(), listed.end(), in_own_region);
    if (first == listed.end()) {
        return;
    }
    const auto second = std::find_if(std::next(first), listed.end(), in_own_region);
    if (second != listed.end() && moves_to_second(request, **first, **second, now)) {
        std::iter_swap(first, second);
    }
}

bool server_selector::moves_to_second(const placement_request& request, server_state& first,
                                      const server_state& second, base::time_point now) const {
    const double other_load = second.load.is_current(now) ? second.load.load() : 0.0;
    double direction = 0.0;
    if (first.load.is_current(now)) {
        const double load = first.load.load();
        if (load > busy_server && load > other_load + least_server_difference) {
            direction = server_rise_per_second;
        } else if (load < idle_server || other_load > load + least_server_difference) {
            direction = -server_fall_per_second;
        }
    }
    first.moved.change(direction, now);
    return first.moved.contains(request.object, first.id_hash);
}

region_spillover::region_size server_selector::own_region_size(const std::string& service) const {
    const auto& own = m_servers.own_locality().region;
    double own_slots = 0.0;
    double all_slots = 0.0;
    for (const auto& server : m_servers.candidates(service)) {
        all_slots += server->registration.slots;
        own_slots += server->region == own ? server->registration.slots : 0.0;
    }
    double own_gateways = 0.0;
    const auto& gateways = m_servers.gateways().all();
    for (const auto& [name, facts] : gateways) {
        own_gateways += facts.region == own ? 1.0 : 0.0;
    }
    if (all_slots <= 0.0 || gateways.empty()) {
        return {};
    }
    return {own_gateways / static_cast<double>(gateways.size()), own_slots / all_slots};
}

placement_result server_selector::choose(const placement_request& request, base::time_point now) {
    std::vector<option> options;
    auto listed = shortlist(request);
    if (request.concerns_object) {
        order_by_load(request, listed, now);
    }
    if (!m_spill.has_begun(request.service)) {
        m_spill.begin(request.service, own_region_size(request.service), now);
    }
    const auto* const first = preferred(request, listed, now);
    options.reserve(listed.size());
    for (const auto& server : listed) {
        options.push_back(evaluate(request, server, *first, now));
    }
    if (options.empty()) {
        return {nullptr, refusal::no_server, {}, {}, minimum_retry_after};
    }
    std::sort(options.begin(), options.end(),
              [](const option& left, const option& right) { return left.cost < right.cost; });
    const auto& best = options.front();
    const bool late = best.expected_latency > request.target_left;
    m_overload.arrived(request.service, late, now);
    if (late && m_overload.is_overloaded(request.service) &&
        expected_wait(*best.server, now) > base::duration::zero()) {
        return {nullptr, refusal::overload, {}, best.expected_latency, request.time_left / 4};
    }
    // A region that lost all its servers sends everything elsewhere at once.
    const bool served_at_home = std::any_of(options.begin(), options.end(), [this](const option& item) {
        return item.server->region == m_servers.own_locality().region;
    });
    base::duration soonest = best.expected_latency;
    for (auto& item : options) {
        soonest = std::min(soonest, item.expected_latency);
        if (item.expected_latency + completion_margin > request.time_left) {
            continue;
        }
        const auto move =
            item.server.get() == first || !served_at_home ? region_move::planned : region_move::urgent;
        if (move == region_move::urgent && !m_shifts.allows(item.server->region, now)) {
            continue;
        }
        if (m_servers.is_cold(*item.server, now) && !m_servers.take_cold_send(*item.server, now)) {
            continue;
        }
        m_shifts.ran(item.server->region, move, now);
        return {item.server, refusal::none, item.cache_state, item.expected_latency, {}};
    }
    return {nullptr, refusal::too_late, {}, soonest, std::max(minimum_retry_after, soonest / 4)};
}

} // namespace carawayway::placement

// Events of the model deployment.
#include "bench/placement/fleet_model.hpp"

#include "carawayway/base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numbers>

namespace placement_model {

namespace {

constexpr base::time_point start{std::chrono::hours{1}};
constexpr base::duration near_trip = std::chrono::milliseconds{2};
constexpr base::duration window = std::chrono::seconds{2};
// Share of the requests of a region that may move between windows, as the platform bounds it.
constexpr double shift_cap = 0.15;

} // namespace

region_result model_result::total() const {
    region_result sum;
    for (const auto& [name, region] : regions) {
        sum.requests += region.requests;
        sum.in_time += region.in_time;
        sum.late += region.late;
        sum.refused += region.refused;
        sum.remote += region.remote;
    }
    return sum;
}

struct fleet_model::server {
    std::string id;
    std::string region;
    std::uint32_t running = 0;
    std::list<std::shared_ptr<request>> waiting;
    std::list<std::string> held; // objects, the latest first
};

struct fleet_model::gateway {
    gateway(const std::string& name, const std::string& region, std::map<std::string, std::string> domains,
            std::uint32_t seed)
        : servers({name, region, region, std::move(domains)}, {1.5, 5.0}), affinity(4096),
          shifts(region, shift_cap, seed), spill(region),
          choice(servers, times, affinity, trips, shifts, spill) {}

    placement::server_table servers;
    placement::run_time_estimator times;
    placement::affinity_cache affinity;
    placement::round_trip_estimator trips;
    placement::region_shift_limiter shifts;
    placement::region_spillover spill;
    placement::server_selector choice;
};

struct fleet_model::request {
    std::string region;
    std::string object;
    gateway* through = nullptr;
    server* to = nullptr;
    placement::object_cache_state warmth = placement::object_cache_state::not_cached;
    base::time_point arrived;
    base::time_point run_began;
};

struct fleet_model::event {
    base::time_point when;
    std::uint64_t number = 0; // order of events at the same time
    std::function<void(base::time_point)> action;

    bool operator<(const event& other) const {
        return when != other.when ? when > other.when : number > other.number;
    }
};

fleet_model::fleet_model(model_options options)
    : m_options(std::move(options)), m_random(m_options.seed),
      m_events(std::make_unique<std::priority_queue<event>>()) {
    m_route.name = "route";
    m_route.timeout = m_options.deadline;
    m_route.target_latency = m_options.target_latency;
    m_route.keeps_affinity = true;
    add_regions();
}

fleet_model::~fleet_model() = default;

void fleet_model::add_regions() {
    std::map<std::string, std::string> domains;
    for (const auto& region : m_options.regions) {
        domains[region.name] = region.name;
    }
    for (const auto& region : m_options.regions) {
        for (std::uint32_t index = 0; index < region.servers; ++index) {
            m_servers.push_back(std::make_unique<server>());
            m_servers.back()->id = region.name + "-server-" + std::to_string(index);
            m_servers.back()->region = region.name;
            m_servers_by_id[m_servers.back()->id] = m_servers.back().get();
        }
        for (std::uint32_t index = 0; index < m_options.gateways_per_region; ++index) {
            m_gateways.push_back(std::make_unique<gateway>(region.name + "-" + std::to_string(index),
                                                           region.name, domains,
                                                           static_cast<std::uint32_t>(m_random())));
        }
    }
    for (const auto& through : m_gateways) {
        for (const auto& other : m_gateways) {
            const auto& own = other->servers.own_locality();
            through->servers.gateways().put({own.gateway, own.failure_domain, own.region, {}, {}});
        }
        for (const auto& known : m_servers) {
            carawayway::fleet::server_registration facts;
            facts.id = known->id;
            facts.service = m_service;
            facts.failure_domain = known->region;
            facts.slots = m_options.slots;
            through->servers.put(facts, start);
            through->trips.observe(known->region, known->region == through->servers.own_locality().region
                                                      ? near_trip
                                                      : m_options.region_round_trip);
        }
    }
}

model_result fleet_model::run() {
    for (std::size_t region = 0; region < m_options.regions.size(); ++region) {
        at(start, [this, region](base::time_point now) { arrive(region, now); });
    }
    while (!m_events->empty()) {
        const event next = m_events->top();
        m_events->pop();
        next.action(next.when);
    }
    for (const auto& [region, windows] : m_far_by_window) {
        double before = -1.0;
        for (const auto& [index, counts] : windows) {
            const double share = counts.first / counts.second;
            if (before >= 0.0) {
                m_result.largest_shift = std::max(m_result.largest_shift, std::abs(share - before));
            }
            before = share;
        }
    }
    return m_result;
}

void fleet_model::at(base::time_point when, std::function<void(base::time_point)> action) {
    m_events->push({when, ++m_last_event, std::move(action)});
}

double fleet_model::rate(const region_options& region, base::time_point now) const {
    const double periods = base::to_seconds(now - start) / base::to_seconds(m_options.wave_period);
    return region.requests_per_second *
           (1.0 + region.wave_amplitude * std::sin(2.0 * std::numbers::pi * (periods + region.wave_phase)));
}

void fleet_model::arrive(std::size_t index, base::time_point now) {
    const auto& region = m_options.regions[index];
    if (now - start >= m_options.length) {
        return;
    }
    auto item = std::make_shared<request>();
    item->region = region.name;
    item->object = region.name + std::to_string(m_random() % m_options.objects_per_region);
    item->through =
        m_gateways[index * m_options.gateways_per_region + m_random() % m_options.gateways_per_region].get();
    item->arrived = now;
    ++m_result.regions[region.name].requests;
    send(item, now);
    std::exponential_distribution<double> gap(std::max(0.1, rate(region, now)));
    at(now + std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(gap(m_random))),
       [this, index](base::time_point then) { arrive(index, then); });
}

std::string fleet_model::choose(request& item, gateway& through, base::time_point now) {
    const std::uint64_t object = base::hash_bytes(item.object);
    const auto load = [&](const placement::server_handle& known) {
        return through.choice.expected_wait(*known, now).count() + known->own_in_flight;
    };
    auto all = through.servers.candidates(m_service);
    switch (m_options.rule) {
    case placement_rule::affinity_and_load: {
        const auto placed = through.choice.choose(
            {m_route, m_service, object, m_options.deadline, m_options.target_latency, {}, true}, now);
        item.warmth = placed.cache_state;
        return placed.server ? placed.server->registration.id : std::string{};
    }
    case placement_rule::two_random: {
        const auto& first = all[m_random() % all.size()];
        const auto& second = all[m_random() % all.size()];
        return (load(first) <= load(second) ? first : second)->registration.id;
    }
    default:
        std::erase_if(all, [&](const auto& known) { return known->region != item.region; });
        break;
    }
    const auto better = [&](const placement::server_handle& left, const placement::server_handle& right) {
        if (m_options.rule == placement_rule::least_loaded_home && load(left) != load(right)) {
            return load(left) < load(right);
        }
        return base::rendezvous_rank(item.object, left->registration.id) >
               base::rendezvous_rank(item.object, right->registration.id);
    };
    return (*std::min_element(all.begin(), all.end(), better))->registration.id;
}

void fleet_model::send(const std::shared_ptr<request>& item, base::time_point now) {
    const std::string id = choose(*item, *item->through, now);
    if (id.empty()) {
        ++m_result.regions[item->region].refused;
        return;
    }
    item->to = m_servers_by_id.at(id);
    count_far(item->region, item->to->region != item->region, now);
    item->through->servers.record_request_start(*item->through->servers.find(id));
    const auto trip = item->to->region == item->region ? near_trip : m_options.region_round_trip;
    at(now + trip / 2, [this, item](base::time_point then) {
        auto& to = *item->to;
        if (to.waiting.size() >= m_options.queue_limit) {
            item->through->servers.record_request_end(*item->through->servers.find(to.id));
            ++m_result.regions[item->region].refused;
            return;
        }
        to.waiting.push_back(item);
        begin_runs(to, then);
    });
}

void fleet_model::begin_runs(server& on, base::time_point now) {
    while (on.running < m_options.slots && !on.waiting.empty()) {
        const auto item = on.waiting.front();
        on.waiting.pop_front();
        ++on.running;
        const auto held = std::find(on.held.begin(), on.held.end(), item->object);
        const bool first_run = held == on.held.end();
        m_result.cache_misses += first_run ? 1 : 0;
        std::normal_distribution<double> spread(1.0, m_options.run_time_spread);
        const auto run_time = std::chrono::duration_cast<base::duration>(
            (first_run ? m_options.cache_miss_run_time : m_options.cache_hit_run_time) *
            std::max(0.2, spread(m_random)));
        item->run_began = now;
        at(now + run_time, [this, item](base::time_point then) { finish(item, then); });
    }
}

void fleet_model::finish(const std::shared_ptr<request>& item, base::time_point now) {
    auto& from = *item->to;
    from.held.remove(item->object);
    from.held.push_front(item->object);
    if (from.held.size() > m_options.cached_objects_per_server) {
        from.held.pop_back();
    }
    --from.running;
    begin_runs(from, now);
    const bool far = from.region != item->region;
    const placement::load_report report{from.running, static_cast<std::uint32_t>(from.waiting.size()),
                                        m_options.slots};
    const auto trip = far ? m_options.region_round_trip : near_trip;
    at(now + trip / 2, [this, item, report, far, now](base::time_point then) {
        auto& through = *item->through;
        const auto known = through.servers.find(item->to->id);
        through.servers.record_request_end(*known);
        through.servers.record_load_report(*known, report, then);
        through.spill.record_load(m_service, known->region, report.utilization(), then);
        through.servers.record_answer(*known, true, then);
        through.affinity.record(base::hash_bytes(item->object), known->id_hash);
        if (report.waiting == 0) {
            through.choice.observe(*known, m_route.name, m_service, item->warmth, now - item->run_began,
                                   then);
        }
        auto& counts = m_result.regions[item->region];
        const auto taken = then - item->arrived;
        counts.in_time += taken <= m_options.target_latency ? 1 : 0;
        counts.late += taken > m_options.target_latency ? 1 : 0;
        counts.remote += far ? 1 : 0;
    });
}

void fleet_model::count_far(const std::string& region, bool far, base::time_point now) {
    auto& counts = m_far_by_window[region][(now - start) / window];
    counts.first += far ? 1.0 : 0.0;
    counts.second += 1.0;
}

} // namespace placement_model

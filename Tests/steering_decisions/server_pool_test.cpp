// Guards against overloaded servers, requests to draining or removed servers, and servers that attract
// traffic because they fail fast.
#include "carawayway/steering/server_pool.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace carawayway::steering {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::time_point start{seconds{1000}};
constexpr base::duration cold{};

server_spec spec(const std::string& name, std::uint32_t slots, base::duration warm_up = cold) {
    return {name, slots, 0, warm_up};
}

std::vector<server_handle> reserve_all(server_pool<>& pool, base::time_point now) {
    std::vector<server_handle> handles;
    while (const auto handle = pool.reserve(now)) {
        handles.push_back(*handle);
    }
    return handles;
}

// Sends `count` requests one after the other; returns how many went to `name`.
std::uint32_t share_of(server_pool<>& pool, std::string_view name, std::uint32_t count, base::time_point& now,
                       completion_kind kind_of_name) {
    std::uint32_t hits = 0;
    for (std::uint32_t request = 0; request < count; ++request) {
        const auto handle = pool.reserve(now);
        EXPECT_TRUE(handle.has_value());
        const bool hit = pool.name(*handle) == name;
        hits += hit ? 1 : 0;
        now += milliseconds{1};
        pool.complete(*handle, hit ? kind_of_name : completion_kind::answered, milliseconds{hit ? 1 : 20},
                      now);
    }
    return hits;
}

// The load of the backend servers, counted by the test independently of the pool.
struct pool_model {
    std::map<std::string, std::uint32_t> slots;
    std::map<std::string, std::uint32_t> in_flight;
    std::set<std::string> closed;   // drained or removed
    std::set<std::string> isolated; // running an isolated request
    std::vector<std::pair<server_handle, std::string>> reservations;
};

void check_reservation(pool_model& model, server_pool<>& pool, server_handle handle) {
    const std::string name{pool.name(handle)};
    RC_ASSERT(!model.closed.contains(name));
    RC_ASSERT(!model.isolated.contains(name));
    RC_ASSERT(++model.in_flight[name] <= model.slots[name]);
    model.reservations.emplace_back(handle, name);
}

RC_GTEST_PROP(server_pool_test, random_operations_never_exceed_slots_or_reach_closed_servers, ()) {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto steps =
        *rc::gen::container<std::vector<std::uint32_t>>(500, rc::gen::arbitrary<std::uint32_t>());
    server_pool<> pool({}, std::mt19937_64{seed});
    pool_model model;
    base::time_point now = start;
    for (const std::uint32_t step : steps) {
        now += milliseconds{step % 300};
        const std::string name = "server-" + std::to_string((step >> 8U) % 6);
        const std::uint32_t choice = (step >> 16U) % 16;
        if (choice < 2) {
            // The slots of a name never change, so that the model's bound also holds for the requests already
            // in flight.
            model.slots[name] = 1 + static_cast<std::uint32_t>(name.back() - '0');
            pool.upsert(spec(name, model.slots[name], milliseconds{(step >> 20U) % 1000}), now);
            // An update does not end a drain, but reopens a removed server.
            const auto all = pool.status(now);
            const auto found = std::find_if(all.begin(), all.end(),
                                            [&](const server_status& status) { return status.name == name; });
            if (found->state != server_state::draining) {
                model.closed.erase(name);
            }
        } else if (choice == 2) {
            pool.drain(name, now);
            model.closed.insert(name);
        } else if (choice == 3) {
            pool.undrain(name, now);
            model.closed.erase(name);
        } else if (choice == 4) {
            pool.remove(name, now);
            model.closed.insert(name);
        } else if (choice == 5) {
            pool.record_load_report(name, step % 100, milliseconds{step % 3000}, now);
        } else if (choice < 10) {
            if (const auto handle = pool.reserve(now)) {
                check_reservation(model, pool, *handle);
            }
        } else if (choice == 10) {
            if (const auto handle = pool.reserve_idle(now)) {
                check_reservation(model, pool, *handle);
                const auto& reserved = model.reservations.back().second;
                RC_ASSERT(model.in_flight[reserved] == 1U);
                model.isolated.insert(reserved);
            }
        } else if (!model.reservations.empty()) {
            const std::size_t position = step % model.reservations.size();
            const auto [handle, reserved] = model.reservations[position];
            model.reservations.erase(model.reservations.begin() + static_cast<std::ptrdiff_t>(position));
            pool.complete(handle, static_cast<completion_kind>(step % 7), milliseconds{step % 50}, now);
            --model.in_flight[reserved];
            model.isolated.erase(reserved);
        }
        RC_ASSERT(pool.in_flight() == model.reservations.size());
        RC_ASSERT(pool.free_slots(now) <= pool.usable_slots(now));
    }
    for (const auto& [handle, reserved] : model.reservations) {
        pool.complete(handle, completion_kind::answered, milliseconds{1}, now);
    }
    RC_ASSERT(pool.in_flight() == 0U);
    RC_ASSERT(pool.stale_completions() == 0U);
}

TEST(server_pool_test, a_drain_stops_new_work_at_once_and_completions_still_count) {
    server_pool<> pool;
    pool.upsert(spec("a", 2), start);
    const auto handles = reserve_all(pool, start);
    ASSERT_EQ(handles.size(), 2U);
    pool.drain("a", start);
    pool.complete(handles[0], completion_kind::answered, milliseconds{5}, start);
    EXPECT_FALSE(pool.reserve(start).has_value());
    EXPECT_FALSE(pool.reserve_idle(start).has_value());
    EXPECT_EQ(pool.in_flight("a"), 1U);
    pool.remove("a", start);
    pool.complete(handles[1], completion_kind::answered, milliseconds{5}, start);
    EXPECT_EQ(pool.in_flight(), 0U);
    pool.complete(handles[1], completion_kind::answered, milliseconds{5}, start);
    EXPECT_EQ(pool.stale_completions(), 1U)
        << "the handle of a removed server must not count for another server";
}

TEST(server_pool_test, a_server_listed_again_keeps_its_requests_in_flight) {
    server_pool<> pool;
    pool.upsert(spec("a", 2), start);
    reserve_all(pool, start);
    pool.remove("a", start);
    pool.upsert(spec("a", 2), start);
    EXPECT_EQ(pool.in_flight("a"), 2U);
    EXPECT_FALSE(pool.reserve(start).has_value()) << "two requests still run on the server";
}

TEST(server_pool_test, connections_bound_requests_in_flight) {
    server_pool<> pool;
    pool.upsert({"a", 6, 2, cold}, start);
    EXPECT_EQ(reserve_all(pool, start).size(), 2U);
}

TEST(server_pool_test, usable_slots_rise_from_one_to_all_over_the_warm_up) {
    server_pool<> pool;
    pool.upsert(spec("a", 5, seconds{4}), start);
    std::vector<std::uint32_t> seen;
    for (int second = 0; second <= 5; ++second) {
        seen.push_back(pool.usable_slots(start + seconds{second}));
    }
    EXPECT_EQ(seen, (std::vector<std::uint32_t>{1, 2, 3, 4, 5, 5}));
    const auto later = start + seconds{10};
    pool.restart_warm_up("a", later);
    EXPECT_EQ(pool.usable_slots(later), 1U);
    EXPECT_EQ(reserve_all(pool, later).size(), 1U);
}

TEST(server_pool_test, a_long_drain_ends_cold_and_a_short_one_nearly_warm) {
    server_pool<> pool;
    pool.upsert(spec("a", 5, seconds{4}), start);
    auto now = start + seconds{10};
    pool.drain("a", now);
    now += seconds{1};
    pool.undrain("a", now);
    EXPECT_EQ(pool.usable_slots(now), 4U);
    now += seconds{10};
    pool.drain("a", now);
    now += seconds{60};
    pool.undrain("a", now);
    EXPECT_EQ(pool.usable_slots(now), 1U);
}

TEST(server_pool_test, a_shed_lowers_the_limit_at_once_and_time_restores_it) {
    server_pool<> pool;
    pool.upsert(spec("a", 10), start);
    const auto handles = reserve_all(pool, start);
    ASSERT_EQ(handles.size(), 10U);
    pool.complete(handles[0], completion_kind::shed, milliseconds{1}, start);
    const std::uint32_t after = pool.usable_slots(start);
    EXPECT_LE(after, 7U);
    EXPECT_FALSE(pool.reserve(start).has_value());
    EXPECT_GT(pool.usable_slots(start + seconds{2}), after);
    EXPECT_EQ(pool.usable_slots(start + seconds{60}), 10U);
}

TEST(server_pool_test, a_server_that_fails_fast_attracts_no_traffic) {
    server_pool<> pool;
    for (const auto* name : {"a", "b", "c", "bad"}) {
        pool.upsert(spec(name, 4), start);
    }
    base::time_point now = start;
    // An even share would be 500 of 2000.
    EXPECT_LT(share_of(pool, "bad", 2000, now, completion_kind::failed), 50U);
    now += seconds{120};
    EXPECT_GT(share_of(pool, "bad", 2000, now, completion_kind::answered), 200U) << "the server must recover";
}

TEST(server_pool_test, a_fast_failing_server_does_not_consume_a_standing_queue) {
    server_pool<> pool;
    pool.upsert(spec("good", 2), start);
    pool.upsert(spec("bad", 2), start);
    base::time_point now = start;
    std::vector<std::pair<base::time_point, server_handle>> running;
    std::uint32_t errors = 0;
    for (int step = 0; step < 5000; ++step, now += milliseconds{1}) {
        std::erase_if(running, [&](const auto& item) {
            const bool done = item.first <= now;
            if (done) {
                pool.complete(item.second, completion_kind::answered, milliseconds{20}, now);
            }
            return done;
        });
        for (int waiting = 0; waiting < 4; ++waiting) {
            const auto handle = pool.reserve(now);
            if (!handle) {
                break;
            }
            if (pool.name(*handle) == "good") {
                running.emplace_back(now + milliseconds{20}, *handle);
            } else {
                ++errors;
                pool.complete(*handle, completion_kind::failed, milliseconds{0}, now);
            }
        }
    }
    EXPECT_LT(errors, 100U) << "without pauses the bad server would take nearly all of 20000 requests";
}

TEST(server_pool_test, errors_common_to_all_servers_reduce_no_capacity) {
    server_pool<> pool;
    pool.upsert(spec("a", 4), start);
    pool.upsert(spec("b", 4), start);
    base::time_point now = start;
    for (int request = 0; request < 500; ++request) {
        const auto handle = pool.reserve(now);
        ASSERT_TRUE(handle.has_value());
        now += milliseconds{5};
        pool.complete(*handle, completion_kind::failed, milliseconds{5}, now);
    }
    EXPECT_EQ(pool.usable_slots(now + seconds{1}), 8U);
}

// Completes all requests, those on `dead` with `kind_of_dead`. Returns how many were on `dead`.
std::uint32_t complete_all(server_pool<>& pool, const std::vector<server_handle>& handles,
                           base::time_point now, completion_kind kind_of_dead) {
    std::uint32_t dead = 0;
    for (const server_handle handle : handles) {
        const bool on_dead = pool.name(handle) == "dead";
        dead += on_dead ? 1 : 0;
        pool.complete(handle, on_dead ? kind_of_dead : completion_kind::answered, milliseconds{5}, now);
    }
    return dead;
}

TEST(server_pool_test, repeated_losses_eject_a_server_and_one_request_probes_it) {
    server_pool<> pool;
    pool.upsert(spec("a", 4), start);
    pool.upsert(spec("dead", 4), start);
    EXPECT_EQ(complete_all(pool, reserve_all(pool, start), start, completion_kind::lost), 4U);
    EXPECT_EQ(complete_all(pool, reserve_all(pool, start), start, completion_kind::lost), 0U)
        << "an ejected server gets no requests while another server is healthy";
    base::time_point now = start + seconds{20};
    EXPECT_EQ(complete_all(pool, reserve_all(pool, now), now, completion_kind::answered), 1U);
    now += seconds{60};
    EXPECT_EQ(complete_all(pool, reserve_all(pool, now), now, completion_kind::answered), 4U);
}

TEST(server_pool_test, ejections_grow_while_probes_fail) {
    server_pool<> pool;
    pool.upsert(spec("a", 1), start);
    pool.upsert(spec("dead", 1), start);
    std::uint32_t probes = 0;
    for (int step = 0; step < 60000; ++step) {
        const auto now = start + milliseconds{step};
        probes += complete_all(pool, reserve_all(pool, now), now, completion_kind::not_sent);
    }
    EXPECT_LE(probes, 20U);
    EXPECT_GE(probes, 5U) << "an ejected server must be probed from time to time";
}

TEST(server_pool_test, timeouts_that_are_common_on_all_servers_eject_none) {
    server_pool<> pool;
    std::mt19937_64 random{7};
    for (const auto* name : {"a", "b", "c", "d"}) {
        pool.upsert(spec(name, 4), start);
    }
    base::time_point now = start;
    std::uint32_t ejected = 0;
    for (int request = 0; request < 20000; ++request, now += milliseconds{1}) {
        const auto handle = pool.reserve(now);
        const auto kind = random() % 10 < 4 ? completion_kind::timed_out : completion_kind::answered;
        pool.complete(*handle, kind, milliseconds{20}, now);
        ejected += request > 200 && pool.usable_slots(now) < 16 ? 1 : 0;
    }
    EXPECT_EQ(ejected, 0U);
}

TEST(server_pool_test, a_server_that_stalls_alone_is_ejected) {
    server_pool<> pool;
    pool.upsert(spec("a", 40), start);
    pool.upsert(spec("dead", 8), start);
    EXPECT_EQ(complete_all(pool, reserve_all(pool, start), start, completion_kind::timed_out), 8U);
    EXPECT_EQ(reserve_all(pool, start).size(), 40U);
}

TEST(server_pool_test, the_last_usable_servers_are_never_ejected) {
    server_pool<> pool;
    pool.upsert(spec("a", 2), start);
    pool.upsert(spec("b", 2), start);
    base::time_point now = start;
    for (int request = 0; request < 100; ++request, now += milliseconds{1}) {
        const auto handle = pool.reserve(now);
        ASSERT_TRUE(handle.has_value()) << "request " << request;
        pool.complete(*handle, completion_kind::lost, milliseconds{1}, now);
    }
    EXPECT_EQ(reserve_all(pool, now).size(), 4U);
}

TEST(server_pool_test, a_load_report_lowers_the_share_of_a_server_and_never_excludes_it) {
    server_pool<> pool;
    pool.upsert(spec("a", 100), start);
    pool.upsert(spec("b", 100), start);
    pool.record_load_report("a", 1000000, milliseconds{0}, start);
    int to_a = 0;
    for (int request = 0; request < 20; ++request) {
        to_a += pool.name(*pool.reserve(start)) == "a" ? 1 : 0;
    }
    EXPECT_LT(to_a, 5);
    EXPECT_EQ(reserve_all(pool, start).size(), 180U);
}

TEST(server_pool_test, an_isolated_request_has_its_server_alone) {
    server_pool<> pool;
    pool.upsert(spec("a", 4), start);
    pool.upsert(spec("b", 4), start);
    const auto isolated = pool.reserve_idle(start);
    ASSERT_TRUE(isolated.has_value());
    for (const auto& handle : reserve_all(pool, start)) {
        EXPECT_NE(handle, *isolated);
    }
    EXPECT_FALSE(pool.reserve_idle(start).has_value()) << "no idle server is left";
    EXPECT_EQ(pool.usable_slots(start), 8U)
        << "otherwise waiting requests would be refused during an isolated run";
    EXPECT_EQ(pool.free_slots(start), 0U);
    pool.complete(*isolated, completion_kind::answered, milliseconds{5}, start);
    EXPECT_EQ(reserve_all(pool, start).size(), 4U);
}

} // namespace
} // namespace carawayway::steering

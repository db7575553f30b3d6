// A machine is lost for good while the store is down; the directory goes on naming it after the outage.
#include "review/world_3/world.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace {

using namespace std::chrono_literals;

// The bounds of the sheet of the site.
constexpr auto touch = 3000ms;
constexpr auto ended_for = touch + 3000ms; // from the end of a machine until answers may no longer name it
constexpr std::size_t permitted = 3;       // answers

constexpr auto outage = 8000ms;
constexpr auto kill_after = 300ms; // from the start of the outage
// One in each zone that has two: front-hki-a-1, front-hki-b-1, front-oulu-a-1, front-tre-a-1.
constexpr std::array<std::size_t, 4> lost_machines{0, 2, 4, 7};
constexpr auto watched = 4000ms; // from the first moment at which an answer may be wrong

boost::json::object configuration() {
    const boost::json::object route{{"name", "r-lookup"},     {"prefix", "/lookup/"},
                                    {"kind", "safe"},         {"timeoutMs", 2000},
                                    {"targetLatencyMs", 250}, {"priority", 0},
                                    {"service", "saatavuus"}, {"maxAttempts", 2},
                                    {"sticky", false},        {"allowedRegions", boost::json::array{}}};
    return {{"version", "00000007"},
            {"services", boost::json::array{boost::json::object{{"name", "saatavuus"},
                                                                {"healthPath", "/health"},
                                                                {"maxConns", 360},
                                                                {"coldStartS", 3.0},
                                                                {"coldPerS", 14.0}}}},
            {"limits", boost::json::object{{"maxHeaderBytes", 16384},
                                           {"maxBodyBytes", 67108864},
                                           {"headerTimeoutMs", 3000},
                                           {"idleTimeoutMs", 15000}}},
            {"hosts", boost::json::array{boost::json::object{{"host", "shades.example"},
                                                             {"paths", boost::json::array{route}}}}}};
}

review::world_spec deployment() {
    review::world_spec spec;
    spec.region_of_zone = {{"hki-a", "uusimaa"},   {"hki-b", "uusimaa"},    {"tre-a", "pirkanmaa"},
                           {"tre-b", "pirkanmaa"}, {"oulu-a", "pohjanmaa"}, {"oulu-b", "pohjanmaa"}};
    for (const auto& [zone, region] : spec.region_of_zone) {
        const int machines = zone == "tre-b" || zone == "oulu-b" ? 1 : 2;
        for (int number = 1; number <= machines; ++number) {
            spec.gateways.push_back({fmt::format("front-{}-{}", zone, number), zone});
        }
        spec.servers.push_back({"i-" + zone, "saatavuus", zone, 6, 5ms});
    }
    spec.bounds = "seedStalenessS=3,reuseDelayS=2,touchMs=3000,ackMs=4000,catchUpS=4,drainMs=2500,graceS=6,"
                  "lossSlackMs=200,configApplyMs=2500,rollbackSlackMs=250,maxStretchMs=5000,budgetRatio=0.2,"
                  "budgetWindowS=10,budgetSlack=60,coldOver=1.5,coldSlack=5,evacMs=5000,recoverS=15,"
                  "ttl_max_s=5,shiftMost=0.15";
    return spec;
}

bool names(const review::answer& answer, const std::string& address) {
    return answer.body.find('"' + address + '"') != std::string::npos;
}

} // namespace

// dead_address PROGRAM RECORD TROUBLE
int main(int count, char** words) {
    if (count != 4) {
        return 2;
    }
    const bool has_trouble = std::string(words[3]) != "0";
    review::world world(deployment(), words[1]);
    world.configure(configuration());
    std::vector<std::size_t> running;
    for (std::size_t index = 0; index < world.machines(); ++index) {
        world.start(index);
        running.push_back(index);
    }
    if (!world.wait_until_ready(10s)) {
        world.write_record(words[2]);
        return 2;
    }
    std::this_thread::sleep_for(8s);
    std::size_t asked = 0;
    std::size_t answered = 0;
    std::size_t broken = 0;
    std::size_t broken_rounds = 0;
    for (const auto lost : lost_machines) {
        const auto began = review::clock::now();
        if (has_trouble) {
            world.set_store(review::kv_store::state::busy_with_pause);
        }
        std::this_thread::sleep_until(began + kill_after);
        std::erase(running, lost);
        world.kill(lost);
        const auto killed = review::clock::now();
        std::this_thread::sleep_until(began + outage);
        world.set_store(review::kv_store::state::serving);
        const auto from = std::max(review::clock::now() + touch, killed + ended_for) + 50ms;
        const auto entry = "carawayway/gateways/" + world.machine(lost).name;
        while (world.store_has(entry) && review::clock::now() < from) {
            std::this_thread::sleep_for(10ms);
        }
        world.note(entry + (world.store_has(entry) ? " is still in the store" : " has left the store"));
        std::this_thread::sleep_until(from);
        std::size_t wrong = 0;
        while (review::clock::now() < from + watched) {
            for (const auto index : running) {
                const auto at = review::clock::now();
                const auto answer = review::send(
                    world.directory(index),
                    review::get_head(fmt::format("/resolve?name=shades.example&region={}&zone={}",
                                                 deployment().region_of_zone.at(world.machine(lost).zone),
                                                 world.machine(lost).zone),
                                     "directory", "", {}),
                    1000ms);
                ++asked;
                answered += answer.status == 200 ? 1 : 0;
                const bool names_running =
                    std::any_of(running.begin(), running.end(),
                                [&](std::size_t other) { return names(answer, world.front(other)); });
                if (names_running && names(answer, world.front(lost))) {
                    ++wrong;
                    world.note(fmt::format(
                        "DRAIN: asked at {:.3f} s, {} answers {}; {} at {} was killed {:.3f} s before",
                        review::seconds(at), world.machine(index).name, answer.body, world.machine(lost).name,
                        world.front(lost), review::seconds(at) - review::seconds(killed)));
                }
            }
            std::this_thread::sleep_for(100ms);
        }
        broken += wrong;
        broken_rounds += wrong > permitted ? 1 : 0;
        world.note(fmt::format("{} answers name {}", wrong, world.machine(lost).name));
        std::this_thread::sleep_for(4s + 100ms * static_cast<int>(lost)); // at different times of the leases
    }
    const auto summary = fmt::format(
        "{} answers of the directory, {} with 200; {} name a machine beside a running one that was "
        "killed over {} ms before, by machines in touch; {} of {} outages have more than {}",
        asked, answered, broken, ended_for.count(), broken_rounds, lost_machines.size(), permitted);
    world.note(summary);
    world.write_record(words[2]);
    fmt::print("{}\n", summary);
    if (answered == 0) {
        return 2;
    }
    return broken > permitted ? 1 : 0;
}

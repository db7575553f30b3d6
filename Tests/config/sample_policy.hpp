// A small valid policy and a generator of valid policies.
#pragma once

#include "carawayway/config/policy.hpp"

#include <fmt/format.h>
#include <rapidcheck.h>

#include <string>

namespace carawayway::config {

inline policy sample_policy() {
    policy sample;
    sample.change_id = "change-1";
    sample.regions = {{"north", std::nullopt}, {"south", 5}};
    sample.failure_domains = {{"n1", "north"}, {"n2", "north"}, {"s1", "south"}};
    sample.services.resize(2);
    sample.services[0].name = "stock";
    sample.services[0].customer = "Tıkanıklık Ustaları";
    sample.services[1].name = "booking";
    sample.services[1].semantics = request_semantics::non_idempotent;
    sample.servers = {{"stock-1", "stock", "n1", "127.0.0.1:8001", 4},
                      {"stock-2", "stock", "n2", "127.0.0.1:8002", 4},
                      {"booking-1", "booking", "s1", "[::1]:8003", 6}};
    sample.client_blocks = {{"192.0.2.0/24", "north"}, {"2001:db8::/32", "south"}};
    sample.draining_entries = {"entry-7"};
    return sample;
}

// Generates valid policies: names and references are consistent, and values vary over their range.
inline policy arbitrary_policy() {
    const auto number = [](int lowest, int highest) { return *rc::gen::inRange(lowest, highest); };
    const auto milliseconds = [&](int lowest) { return std::chrono::milliseconds(number(lowest, 60000)); };
    const auto share = [&] { return number(0, 1'000'001) / 1e6; };
    policy made;
    made.comment = *rc::gen::element<std::string>("", "a = b; # [c]", "ölçü: %", "=", ";x", "[policy]");
    made.lookup_lifetime = milliseconds(1);
    made.peer_requests_in_flight = static_cast<std::uint32_t>(number(1, 65536));
    const int regions = number(1, 5);
    for (int index = 0; index < regions; ++index) {
        const std::string suffix = std::to_string(index);
        made.regions.push_back({"r" + suffix, std::nullopt});
        made.failure_domains.push_back({"d" + suffix, "r" + suffix});
        made.client_blocks.push_back({fmt::format("10.{}.0.0/{}", index, number(16, 33)), "r" + suffix});
    }
    const int services = number(0, 5);
    for (int index = 0; index < services; ++index) {
        service_policy service;
        service.name = "s" + std::to_string(index);
        service.semantics =
            *rc::gen::element(request_semantics::idempotent, request_semantics::non_idempotent);
        service.default_timeout = milliseconds(1);
        service.maximum_timeout = std::max(service.default_timeout, base::duration(milliseconds(1)));
        service.queue_limit = static_cast<std::uint32_t>(number(0, 1000));
        service.retry_share = share();
        service.cap = {share(), milliseconds(1), std::nullopt};
        if (number(0, 2) == 1) {
            service.cap.requests_per_second = number(0, 1'000'000) / 7.0;
            service.regions = {"r0"};
        }
        made.services.push_back(service);
        const auto slots = static_cast<std::uint32_t>(number(1, 9));
        made.servers.push_back({"a" + service.name, service.name, "d0", fmt::format("[::1]:{}", 100 + index),
                                slots, static_cast<std::uint32_t>(number(9, 400))});
        made.regions.front().capacity = slots;
    }
    return made;
}

} // namespace carawayway::config

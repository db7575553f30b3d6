// Gateway processes while another writer leaves records in the store that no server would write.
#include "Tests/gateway_processes/gateway_fleet.hpp"
#include "Tests/gateway_processes/steady_load.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace carawayway::gateway_processes {
namespace {

constexpr std::size_t nesting_depth = 20'000;

std::string record_of(std::string_view address, std::string_view slots, std::string_view cold_left) {
    return fmt::format(
        R"({{"address":"{}","info":{{"service":"orders","version":"1","zone":"a1","slots":{}}},)"
        R"("status":{{"state":"ready","seq":1,"coldLeftMs":{}}}}})",
        address, slots, cold_left);
}

std::vector<std::string> odd_records() {
    const std::string nested = std::string(nesting_depth, '[') + std::string(nesting_depth, ']');
    std::vector<std::string> records{"",         "null", "{",
                                     "\xff\xfe", nested, record_of("127.0.0.1:9", nested, "0")};
    for (const auto* const number :
         {"4294967296", "18446744073709551616", "1e300", "1e400", "1e99999999999", "-1"}) {
        records.push_back(record_of("127.0.0.1:9", number, "0"));
    }
    for (const auto* const number : {"9223372036854775808", "1e300", "1e400", "-1e300", "\"0\""}) {
        records.push_back(record_of("127.0.0.1:9", "6", number));
    }
    for (const auto* const address :
         {"", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999999999", "127.0.0.1:-9",
          "server.example:9", "0.0.0.0:9"}) {
        records.push_back(record_of(address, "6", "0"));
    }
    return records;
}

// Writes odd records, each under a key of its own, between the keys of the servers and as documents of
// others.
void write_odd_records(gateway_fleet& fleet) {
    std::size_t index = 0;
    for (const auto& value : odd_records()) {
        fleet.write_to_store(fmt::format("servers/i-odd-{}", index), value);
        fleet.write_to_store(fmt::format("carawayway/gateways/odd-{}", index), value);
        fleet.write_to_store(fmt::format("carawayway/permits/i-odd-{}/4294967296", index), value);
        fleet.write_to_store(fmt::format("carawayway/permits/i-odd-{}/0", index), value);
        fleet.write_to_store(fmt::format("carawayway/quarantine/odd-{}", index), value);
        ++index;
    }
    const auto good = record_of("127.0.0.1:9", "6", "0");
    for (const auto* const key :
         {"servers/", "servers/i-odd\r\nDeadline-Ms: 1", "servers/i-odd \xff", "op/evacuate/",
          "op/evacuate/\xff\r\n", "carawayway/permits/", "carawayway/gateways/\xff\r\n"}) {
        fleet.write_to_store(key, good);
    }
    fleet.write_to_store("op/config", odd_records().at(4));
}

// Expects that each gateway serves, learns of a server that starts now, and uses none of the odd records.
void expect_to_follow_and_serve(gateway_fleet& fleet) {
    const auto added = fleet.start_server();
    for (std::size_t gateway = 0; gateway < fleet.gateway_count(); ++gateway) {
        EXPECT_TRUE(test_support::wait_until([&] {
            return fleet.has_logged(gateway, "event=server-registered server=" + added + " ");
        })) << "gateway "
            << gateway;
        EXPECT_FALSE(fleet.has_logged(gateway, "event=server-registered server=i-odd"))
            << "gateway " << gateway;
        EXPECT_FALSE(fleet.has_logged(gateway, "event=server-registered server=\"")) << "gateway " << gateway;
        EXPECT_FALSE(fleet.has_logged(gateway, "event=gateway-registered gateway=odd"))
            << "gateway " << gateway;
        EXPECT_FALSE(fleet.has_logged(gateway, "event=store-lost")) << "gateway " << gateway;
        for (int request = 0; request < 20; ++request) {
            const auto object = std::to_string(request);
            EXPECT_EQ(fleet.send(gateway, "GET", "/read/" + object, object).status, 200U)
                << "gateway " << gateway;
        }
    }
}

// Guards against gateways that end, or learn of no later change, because of one record of another writer.
TEST(odd_records_test, gateways_live_on_and_follow_the_store) {
    gateway_fleet fleet(gateway_fleet::crashing_booking);
    const steady_load load(fleet);
    write_odd_records(fleet);
    expect_to_follow_and_serve(fleet);
    write_odd_records(fleet); // once more, as a writer that does so regularly
    expect_to_follow_and_serve(fleet);
    fleet.set_store_fault(soak::store_fault::history_compacted); // the gateways list the store
    fleet.set_store_fault(soak::store_fault::none);
    expect_to_follow_and_serve(fleet);
}

} // namespace
} // namespace carawayway::gateway_processes

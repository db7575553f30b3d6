// Guards against outages and wrong answers on both sides of a broken or slow link between regions.
#include "Tests/system/sample_deployments.hpp"

#include <gtest/gtest.h>

namespace carawayway::test_support {
namespace {

using enum base::execution_state;

const std::string first_region = "uusimaa";
const std::string second_region = "pirkanmaa";

void expect_both_regions_serve(const caller_load& load) {
    EXPECT_TRUE(load.wait_for_executions("hki-a-1", 50));
    EXPECT_TRUE(load.wait_for_executions("tre-a-1", 50));
}

// Resends the reservation through the other region until the answer has the wanted execution state.
void expect_resend(deployment& system, const request& reservation, base::execution_state wanted) {
    caller client(system, system.source_address_in(second_region));
    EXPECT_TRUE(wait_until([&] { return client.send("tre-a-1", reservation).execution == wanted; }))
        << "wanted " << base::to_string(wanted);
}

// While the link is unreachable, stalled or slow, both regions must continue to serve their callers. A region
// that cannot reach the other one must answer "unknown" for request IDs of the other one, and must return
// their real state again after the fault ends.
TEST(partition_test, both_regions_serve_their_own_callers) {
    deployment system(one_entry_per_region());
    ASSERT_NO_FATAL_FAILURE(system.start());
    caller client(system, system.source_address_in(first_region));
    caller_load load(system, 6, 20261203);
    for (const std::string fault : {"unreachable", "stall", "delay"}) {
        SCOPED_TRACE(fault);
        const request reservation{"varaus", client.fresh_id("hki-a-1", "varaus"), fault};
        EXPECT_EQ(client.send("hki-a-1", reservation).execution, executed);
        expect_resend(system, reservation, executed);
        if (fault == "unreachable") {
            system.control_links(first_region, second_region, R"("unreachable":true)");
            system.control_links(second_region, first_region, R"("unreachable":true)");
            expect_resend(system, reservation, unknown);
        } else if (fault == "stall") {
            // Holds back everything that the first region sends to the second, whichever region opened the
            // connection.
            system.control_links(first_region, second_region, R"("stall":"to_target")");
            system.control_links(second_region, first_region, R"("stall":"to_source")");
            expect_resend(system, reservation, unknown);
        } else {
            system.control_links(first_region, second_region, R"("delay_ms":40)");
            system.control_links(second_region, first_region, R"("delay_ms":40)");
            expect_resend(system, reservation, executed);
        }
        expect_both_regions_serve(load);
        for (const auto* fields : {R"("unreachable":false)", R"("stall":"none")", R"("delay_ms":0)"}) {
            system.control_links(first_region, second_region, fields);
            system.control_links(second_region, first_region, fields);
        }
        expect_resend(system, reservation, executed);
    }
    load.stop();
    system.expect_no_violations();
}

} // namespace
} // namespace carawayway::test_support

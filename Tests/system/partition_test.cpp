// Guards callers on both sides of a damaged link between regions.
#include "Tests/system/sample_deployments.hpp"

#include <gtest/gtest.h>

namespace carawayway::test_support {
namespace {

using enum base::execution_state;

const std::string side_one = "uusimaa";
const std::string side_two = "pirkanmaa";

void expect_both_serve(const caller_load& load) {
    EXPECT_TRUE(load.wait_executed("hki-a-1", 50));
    EXPECT_TRUE(load.wait_executed("tre-a-1", 50));
}

// Resends the reservation through the other side until it is answered in this way.
void expect_resend(deployment& system, const request& reservation, base::execution_state wanted) {
    caller self(system, system.source_in(side_two));
    EXPECT_TRUE(wait_until([&] { return self.send("tre-a-1", reservation).execution == wanted; }))
        << "wanted " << base::to_string(wanted);
}

// While a link is cut, stalled or slow, each side must go on, must not claim anything about the other side's
// IDs, and must answer for them again afterwards.
TEST(partition_test, both_sides_serve_their_own_callers) {
    deployment system(two_regions());
    ASSERT_NO_FATAL_FAILURE(system.start());
    caller self(system, system.source_in(side_one));
    caller_load load(system, 6, 20261203);
    for (const std::string fault : {"unreachable", "stall", "delay"}) {
        SCOPED_TRACE(fault);
        const request reservation{"varaus", self.fresh_id("hki-a-1", "varaus"), fault};
        EXPECT_EQ(self.send("hki-a-1", reservation).execution, executed);
        expect_resend(system, reservation, executed);
        if (fault == "unreachable") {
            system.control_links(side_one, side_two, R"("unreachable":true)");
            system.control_links(side_two, side_one, R"("unreachable":true)");
            expect_resend(system, reservation, unknown);
        } else if (fault == "stall") {
            // Nothing from the first side arrives at the second one, on whichever connection.
            system.control_links(side_one, side_two, R"("stall":"to_target")");
            system.control_links(side_two, side_one, R"("stall":"to_source")");
            expect_resend(system, reservation, unknown);
        } else {
            system.control_links(side_one, side_two, R"("delay_ms":40)");
            system.control_links(side_two, side_one, R"("delay_ms":40)");
            expect_resend(system, reservation, executed);
        }
        expect_both_serve(load);
        for (const auto* fields : {R"("unreachable":false)", R"("stall":"none")", R"("delay_ms":0)"}) {
            system.control_links(side_one, side_two, fields);
            system.control_links(side_two, side_one, fields);
        }
        expect_resend(system, reservation, executed);
    }
    load.stop();
    system.expect_history_holds();
}

} // namespace
} // namespace carawayway::test_support

// The engine's promises about single requests and servers, under virtual time.
#include "Tests/engine/callers.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace carawayway::engine_test {
namespace {

using base::execution_state;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::IsEmpty;

class engine_requests : public testing::Test {
protected:
    void start_all() {
        for (const auto& name : entry_names) {
            m_world.start_entry(name);
        }
        m_world.run_for(seconds(5));
    }

    engine_world m_world{1};
    callers m_callers{m_world};
};

// Guards against a harness in which nothing works, where every other test would pass.
TEST_F(engine_requests, serve_both_services_in_both_regions) {
    start_all();
    const auto begin = m_world.now();
    for (const auto* service : {"stock", "booking"}) {
        for (const auto* home : {"north", "south"}) {
            m_callers.load({.service = service, .home = home}, 20, seconds(5));
        }
    }
    m_world.run_for(seconds(8));
    EXPECT_EQ(m_callers.sent(begin), 400U);
    EXPECT_EQ(m_callers.count(execution_state::executed, begin), 400U);
    EXPECT_THAT(m_world.violations(), IsEmpty());
    EXPECT_THAT(m_callers.late_answers(), IsEmpty());
}

} // namespace
} // namespace carawayway::engine_test

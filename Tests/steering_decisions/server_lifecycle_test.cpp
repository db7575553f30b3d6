// Guards against state transitions that make a draining server receive requests again.
#include "carawayway/steering/server_lifecycle.hpp"

#include <gtest/gtest.h>

namespace carawayway::steering {
namespace {

TEST(server_lifecycle_test, only_opening_ends_a_drain) {
    server_lifecycle lifecycle;
    EXPECT_EQ(lifecycle.state(), server_state::starting);
    lifecycle.apply(server_event::open_cold);
    EXPECT_EQ(lifecycle.state(), server_state::warming);
    lifecycle.apply(server_event::drain);
    for (const auto event : {server_event::warmed_up, server_event::restart, server_event::eject,
                             server_event::recover, server_event::rediscover}) {
        EXPECT_EQ(lifecycle.apply(event), transition::ignored);
        EXPECT_EQ(lifecycle.state(), server_state::draining);
    }
    EXPECT_EQ(lifecycle.apply(server_event::open_warm), transition::taken);
    EXPECT_EQ(lifecycle.state(), server_state::active);
}

TEST(server_lifecycle_test, a_suspect_server_recovers_and_a_gone_one_starts_again) {
    server_lifecycle lifecycle;
    lifecycle.apply(server_event::open_warm);
    lifecycle.apply(server_event::eject);
    EXPECT_EQ(lifecycle.state(), server_state::suspect);
    lifecycle.apply(server_event::recover);
    EXPECT_EQ(lifecycle.state(), server_state::active);
    lifecycle.apply(server_event::remove);
    EXPECT_EQ(lifecycle.state(), server_state::gone);
    EXPECT_EQ(lifecycle.apply(server_event::open_warm), transition::ignored);
    lifecycle.apply(server_event::rediscover);
    EXPECT_EQ(lifecycle.state(), server_state::starting);
}

} // namespace
} // namespace carawayway::steering

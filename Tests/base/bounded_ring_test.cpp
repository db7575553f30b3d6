// Guards the queue between threads against lost wake-ups, lost values and pushes that block.
#include "carawayway/base/bounded_ring.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <semaphore>
#include <thread>

namespace carawayway::base {
namespace {

TEST(bounded_ring_test, a_push_to_a_full_ring_fails_and_keeps_the_value) {
    bounded_ring<std::unique_ptr<int>> ring(1, [] {});
    auto first = std::make_unique<int>(1);
    auto second = std::make_unique<int>(2);
    EXPECT_TRUE(ring.push(first));
    EXPECT_FALSE(ring.push(second));
    ASSERT_NE(second, nullptr);
    EXPECT_EQ(*second, 2);
}

TEST(bounded_ring_test, every_value_arrives_in_order_without_polling) {
    constexpr int count = 100000;
    std::counting_semaphore<> wake(0);
    bounded_ring<int> ring(64, [&wake] { wake.release(); });
    std::jthread producer([&ring] {
        for (int value = 0; value < count;) {
            int copy = value;
            if (ring.push(copy)) {
                ++value;
            }
        }
    });
    int expected = 0;
    while (expected < count) {
        wake.acquire();
        while (ring.drain([&expected](int value) { EXPECT_EQ(value, expected++); }) > 0) {
        }
    }
    EXPECT_EQ(expected, count);
}

} // namespace
} // namespace carawayway::base

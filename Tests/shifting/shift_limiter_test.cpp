// Guards against more traffic leaving its home region than the shift cap allows, and against traffic that is
// held back although the cap allows it to move.
#include "carawayway/shifting/shift_limiter.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace carawayway::shifting {
namespace {

using namespace std::chrono_literals;

constexpr base::duration window = 10s;
constexpr base::time_point start{1h};
const shift_key key{"varaus", "uusimaa"};

config::shift_cap cap_of(double share) {
    return {share, window, std::nullopt};
}

using times = std::vector<base::time_point>;

// Number of events in (end - window, end]; `events` is sorted.
std::size_t count_in_window(const times& events, base::time_point end) {
    const auto first = std::upper_bound(events.begin(), events.end(), end - window);
    const auto last = std::upper_bound(events.begin(), events.end(), end);
    return static_cast<std::size_t>(last - first);
}

// The highest number of events in any window that ends in [end - 2 * window, end - window].
std::size_t baseline_before(const times& events, base::time_point end) {
    std::size_t baseline = count_in_window(events, end - 2 * window);
    for (const auto time : events) {
        if (time >= end - 2 * window && time <= end - window) {
            baseline = std::max(baseline, count_in_window(events, time));
        }
    }
    return baseline;
}

std::size_t moves_at_once(shift_limiter& limiter, base::time_point now) {
    std::size_t moved = 0;
    while (moved < 100000 && limiter.try_move(key, now)) {
        ++moved;
    }
    return moved;
}

enum class rate_knowledge { known, unknown };

// Sends random bursts, gaps and steady traffic, and checks the guarantee of shift_limiter at each move.
void check_moves_in_any_window(rate_knowledge knowledge) {
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    const double share = *rc::gen::element(0.01, 0.1, 0.25, 0.5);
    const double rate = *rc::gen::element(0.3, 4.0, 30.0, 100.0);
    const auto entries = *rc::gen::element(1U, 3U, 10U);
    const double known_reference = rate * base::to_seconds(window) / entries;
    shift_limiter limiter;
    limiter.configure(key.service, cap_of(share), entries, start);
    if (knowledge == rate_knowledge::known) {
        limiter.set_reference_rate(key, rate, start);
    }
    times moved;
    times arrived;
    base::time_point now = start;
    for (int phase = 0; phase < 12; ++phase) {
        const double mean_gap = std::array{0.002, 0.05, 0.5, 4.0}.at(random() % 4);
        std::exponential_distribution<double> gap(1 / mean_gap);
        for (int request = 0; request < 60; ++request) {
            now += std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(gap(random)));
            limiter.record_arrival(key, arrival_kind::first_time, now);
            arrived.push_back(now);
            if (!limiter.try_move(key, now)) {
                continue;
            }
            moved.push_back(now);
            const double reference = knowledge == rate_knowledge::known
                                         ? known_reference
                                         : static_cast<double>(count_in_window(arrived, now));
            const double allowed = std::max(1.0, share * reference + 1e-6);
            const auto baseline = static_cast<double>(baseline_before(moved, now));
            RC_ASSERT(static_cast<double>(count_in_window(moved, now)) <= baseline + allowed);
        }
    }
}

RC_GTEST_PROP(shift_limiter_test, no_window_exceeds_the_cap_at_a_known_rate, ()) {
    check_moves_in_any_window(rate_knowledge::known);
}

RC_GTEST_PROP(shift_limiter_test, no_window_exceeds_the_cap_at_an_unknown_rate, ()) {
    check_moves_in_any_window(rate_knowledge::unknown);
}

RC_GTEST_PROP(shift_limiter_test, all_entries_together_move_at_most_one_step_per_window, ()) {
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    constexpr double rate = 200;
    constexpr double share = 0.1;
    std::vector<shift_limiter> entries(*rc::gen::inRange<std::size_t>(1, 9));
    for (auto& entry : entries) {
        entry.configure(key.service, cap_of(share), static_cast<std::uint32_t>(entries.size()), start);
        entry.set_reference_rate(key, rate, start);
    }
    times moved;
    for (base::time_point now = start; now < start + 4 * window; now += 5ms) {
        if (!entries[random() % entries.size()].try_move(key, now)) {
            continue;
        }
        moved.push_back(now);
        const auto step = static_cast<double>(1 + (now - moved.front()) / window);
        RC_ASSERT(static_cast<double>(count_in_window(moved, now)) <=
                  step * share * rate * base::to_seconds(window));
    }
}

TEST(shift_limiter_test, the_moved_share_rises_by_the_cap_per_window_until_all_traffic_has_moved) {
    shift_limiter limiter;
    limiter.configure(key.service, cap_of(0.2), 1, start);
    limiter.set_reference_rate(key, 100, start);
    std::vector<int> moved(8);
    for (base::time_point now = start; now < start + 8 * window; now += 10ms) {
        limiter.record_arrival(key, arrival_kind::first_time, now);
        moved.at(static_cast<std::size_t>((now - start) / window)) += limiter.try_move(key, now) ? 1 : 0;
    }
    for (std::size_t index = 0; index < moved.size(); ++index) {
        const int allowed = std::min(1000, 200 * static_cast<int>(index + 1));
        EXPECT_LE(moved.at(index), allowed) << index;
        EXPECT_GE(moved.at(index), allowed - 40) << "too much traffic was held back in window " << index;
    }
}

TEST(shift_limiter_test, a_window_boundary_does_not_admit_the_allowance_twice) {
    shift_limiter limiter;
    limiter.configure(key.service, cap_of(0.1), 1, start);
    limiter.set_reference_rate(key, 100, start);
    EXPECT_EQ(moves_at_once(limiter, start + window - 1ms), 100U);
    EXPECT_EQ(moves_at_once(limiter, start + window + 1ms), 0U);
    EXPECT_EQ(moves_at_once(limiter, start + 2 * window - 2ms), 0U);
}

TEST(shift_limiter_test, an_allowance_below_one_request_accumulates) {
    shift_limiter limiter;
    limiter.configure(key.service, cap_of(0.1), 10, start);
    limiter.set_reference_rate(key, 3, start); // 0.3 requests per window
    EXPECT_EQ(moves_at_once(limiter, start + 3 * window), 0U);
    const auto wait = limiter.retry_after(key, start + 3 * window);
    EXPECT_GE(wait, window / 3);
    EXPECT_LE(wait, window / 3 + window / 25);
    EXPECT_EQ(moves_at_once(limiter, start + 10 * window), 1U);
    EXPECT_EQ(moves_at_once(limiter, start + 10 * window + window * 31 / 10), 0U) << "the credit is used up";
    EXPECT_EQ(moves_at_once(limiter, start + 14 * window), 1U);
}

TEST(shift_limiter_test, without_history_and_rate_the_first_move_is_admitted_after_enough_arrivals) {
    shift_limiter limiter;
    limiter.configure(key.service, cap_of(0.1), 10, start);
    EXPECT_FALSE(limiter.try_move(key, start));
    std::vector<int> moved_at;
    for (int arrival = 1; arrival <= 20; ++arrival) {
        limiter.record_arrival(key, arrival_kind::first_time, start);
        limiter.record_arrival(key, arrival_kind::resend, start);
        if (limiter.try_move(key, start)) {
            moved_at.push_back(arrival);
        }
    }
    EXPECT_EQ(moved_at, (std::vector<int>{10, 20})) << "resends must not count for the reference traffic";
}

TEST(shift_limiter_test, a_cap_of_zero_moves_nothing_and_a_cap_of_one_everything) {
    shift_limiter limiter;
    EXPECT_FALSE(limiter.try_move(key, start)) << "a service without a cap moves nothing";
    limiter.configure(key.service, cap_of(0), 1, start);
    limiter.set_reference_rate(key, 100, start);
    EXPECT_EQ(moves_at_once(limiter, start + 5 * window), 0U);
    EXPECT_EQ(limiter.retry_after(key, start), window);
    limiter.configure(key.service, cap_of(1), 1, start + 5 * window);
    EXPECT_EQ(moves_at_once(limiter, start + 5 * window), 100000U);
}

TEST(shift_limiter_test, the_absolute_cap_holds_over_all_regions_and_divides_by_the_entries) {
    shift_limiter limiter;
    limiter.configure(key.service, {1.0, window, 20.0}, 4, start);
    const shift_key other{key.service, "pirkanmaa"};
    int moved = 0;
    for (int attempt = 0; attempt < 200; ++attempt) {
        moved += limiter.try_move(attempt % 2 == 0 ? key : other, start) ? 1 : 0;
    }
    EXPECT_EQ(moved, 50);
    shift_limiter slow;
    slow.configure(key.service, {1.0, window, 0.2}, 4, start); // 0.5 requests per window
    EXPECT_EQ(moves_at_once(slow, start + window), 0U);
    EXPECT_EQ(moves_at_once(slow, start + 2 * window), 1U);
}

TEST(shift_limiter_test, a_move_succeeds_after_the_advised_wait) {
    shift_limiter limiter;
    limiter.configure(key.service, cap_of(0.1), 1, start);
    limiter.set_reference_rate(key, 10, start);
    base::time_point now = start;
    EXPECT_EQ(limiter.retry_after(key, now), 0s);
    for (int round = 0; round < 20; ++round) {
        moves_at_once(limiter, now);
        const auto wait = limiter.retry_after(key, now);
        EXPECT_GT(wait, 0s);
        EXPECT_LE(wait, window + window / 20);
        now += wait;
        EXPECT_TRUE(limiter.try_move(key, now)) << round;
    }
}

TEST(shift_limiter_test, moves_still_count_after_a_change_of_the_cap) {
    shift_limiter limiter;
    limiter.configure(key.service, cap_of(0.1), 1, start);
    limiter.set_reference_rate(key, 10, start);
    EXPECT_EQ(moves_at_once(limiter, start), 10U);
    limiter.configure(key.service, cap_of(0.2), 1, start + 1s);
    EXPECT_EQ(moves_at_once(limiter, start + 1s), 10U);
    limiter.configure(key.service, {0.2, 2 * window, std::nullopt}, 1, start + 2s);
    EXPECT_EQ(moves_at_once(limiter, start + 2s), 20U) << "0.2 of 200 requests per window, less the 20 moved";
}

TEST(shift_limiter_test, the_status_shows_shares_of_the_reference_traffic) {
    shift_limiter limiter;
    limiter.configure(key.service, cap_of(0.1), 2, start);
    limiter.set_reference_rate(key, 20, start);
    EXPECT_EQ(moves_at_once(limiter, start), 10U);
    const auto now = start + 3 * window / 2;
    const auto status = limiter.status(start + window / 2);
    ASSERT_EQ(status.size(), 1U);
    EXPECT_EQ(status[0].home_region, key.home_region);
    EXPECT_DOUBLE_EQ(status[0].moved_share, 0.1);
    EXPECT_DOUBLE_EQ(status[0].allowed_share, 0.1);
    EXPECT_GT(status[0].window_left, 0s);
    EXPECT_DOUBLE_EQ(limiter.status(now)[0].allowed_share, 0.2);
    EXPECT_EQ(limiter.status(now)[0].window_left, 0s);
}

} // namespace
} // namespace carawayway::shifting

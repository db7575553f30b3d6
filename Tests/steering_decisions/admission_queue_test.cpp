// Guards against waiting requests that are served in the wrong order, are refused too late or miss their
// deadline because of the queue.
#include "carawayway/steering/admission_queue.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace carawayway::steering {
namespace {

using std::chrono::milliseconds;

const base::time_point start{std::chrono::seconds{1000}};

waiting_request request(std::uint64_t token, base::duration deadline, base::duration enqueued_after = {}) {
    return {token, start + deadline, start + enqueued_after};
}

TEST(admission_queue_test, requests_are_taken_by_deadline_then_by_arrival) {
    admission_queue queue;
    for (const auto& offered :
         {request(1, milliseconds{900}, milliseconds{5}), request(2, milliseconds{500}, milliseconds{7}),
          request(3, milliseconds{500}, milliseconds{6}), request(4, milliseconds{700}, milliseconds{8})}) {
        ASSERT_EQ(queue.offer(offered, 10, milliseconds{10}, start).verdict, admission_verdict::queued);
    }
    EXPECT_EQ(queue.next_deadline(), start + milliseconds{500});
    EXPECT_TRUE(queue.erase(4));
    EXPECT_FALSE(queue.erase(4));
    std::vector<std::uint64_t> order;
    while (const auto taken = queue.take(start, milliseconds{10})) {
        order.push_back(taken->token);
    }
    EXPECT_EQ(order, (std::vector<std::uint64_t>{3, 2, 1}));
}

TEST(admission_queue_test, requests_that_can_no_longer_finish_expire_and_are_not_taken) {
    admission_queue queue;
    queue.offer(request(1, milliseconds{100}), 10, milliseconds{10}, start);
    queue.offer(request(2, milliseconds{300}), 10, milliseconds{10}, start);
    const auto later = start + milliseconds{95};
    EXPECT_EQ(queue.take(later, milliseconds{10})->token, 2U);
    const auto expired = queue.take_expired(later, milliseconds{10});
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired[0].token, 1U);
    EXPECT_EQ(queue.size(), 0U);
}

TEST(admission_queue_test, requests_that_cannot_finish_are_refused_on_arrival_with_retry_advice) {
    admission_queue queue;
    EXPECT_EQ(queue.offer(request(1, milliseconds{5}), 1, milliseconds{10}, start).verdict,
              admission_verdict::refused_deadline);
    admission last;
    std::uint64_t token = 2;
    do {
        last = queue.offer(request(token++, milliseconds{1000}), 1, milliseconds{10}, start);
    } while (last.verdict == admission_verdict::queued);
    EXPECT_EQ(last.verdict, admission_verdict::refused_deadline);
    // With one slot and 10 ms for a request, serving the queue takes 10 ms times its length.
    EXPECT_GE(last.retry_after, milliseconds{10} * queue.size());
    EXPECT_LE(last.retry_after, milliseconds{20} * queue.size());
    EXPECT_EQ(queue.offer(request(token, milliseconds{1000}), 0, milliseconds{10}, start).verdict,
              admission_verdict::refused_deadline);
}

TEST(admission_queue_test, a_full_queue_refuses_requests) {
    queue_limits limits;
    limits.capacity = 2;
    admission_queue queue(limits);
    queue.offer(request(1, milliseconds{1000}), 10, milliseconds{1}, start);
    queue.offer(request(2, milliseconds{1000}), 10, milliseconds{1}, start);
    const admission refused = queue.offer(request(3, milliseconds{1000}), 10, milliseconds{1}, start);
    EXPECT_EQ(refused.verdict, admission_verdict::refused_full);
    EXPECT_GT(refused.retry_after, base::duration::zero());
}

TEST(admission_queue_test, an_earlier_deadline_is_refused_when_it_would_make_an_accepted_request_late) {
    admission_queue queue;
    std::uint64_t token = 1;
    while (queue.offer(request(token, milliseconds{500}), 1, milliseconds{10}, start).verdict ==
           admission_verdict::queued) {
        ++token;
    }
    const std::size_t accepted = queue.size();
    while (queue.offer(request(++token, milliseconds{400}), 1, milliseconds{10}, start).verdict ==
           admission_verdict::queued) {
    }
    base::time_point now = start;
    std::size_t in_time = 0;
    const std::size_t total = queue.size();
    while (const auto taken = queue.take(now, milliseconds{10})) {
        now += milliseconds{10};
        queue.record_completion(now);
        in_time += now <= taken->deadline ? 1 : 0;
    }
    EXPECT_GE(total, accepted);
    EXPECT_EQ(in_time, total);
}

TEST(admission_queue_test, a_standing_queue_allows_less_waiting_than_a_burst) {
    admission_queue queue;
    constexpr base::duration latency = milliseconds{10};
    std::uint64_t token = 0;
    base::time_point now = start;
    const auto fill = [&] {
        admission last;
        do {
            last = queue.offer({++token, now + std::chrono::seconds{2}, now}, 1, latency, now);
        } while (last.verdict == admission_verdict::queued);
    };
    fill();
    EXPECT_GT(queue.size(), 100U) << "a burst may use the whole deadline";
    for (int completion = 0; completion < 2000; ++completion) {
        now += latency;
        queue.record_completion(now);
        queue.take(now, latency);
        fill();
        ASSERT_GT(queue.size(), 0U) << "an empty queue would leave capacity idle";
    }
    EXPECT_LE(queue.size(), 4U);
}

// Simulates a server that completes one request every `interval`, with more arrivals than it can serve.
RC_GTEST_PROP(admission_queue_test, no_accepted_request_is_late_at_a_steady_rate, ()) {
    const auto interval = milliseconds{*rc::gen::inRange(1, 20)};
    const auto arrivals =
        *rc::gen::container<std::vector<std::uint32_t>>(300, rc::gen::arbitrary<std::uint32_t>());
    admission_queue queue;
    base::time_point now = start;
    base::time_point free_at = start;
    const auto serve_until = [&](base::time_point end) {
        while (free_at <= end) {
            queue.record_completion(free_at);
            RC_ASSERT(queue.take_expired(free_at, interval).empty());
            const auto taken = queue.take(free_at, interval);
            free_at = taken ? free_at + interval : end + base::duration{1};
        }
    };
    std::uint64_t token = 0;
    for (const std::uint32_t arrival : arrivals) {
        now += std::chrono::microseconds{arrival % 8000};
        serve_until(now);
        const base::time_point deadline = now + milliseconds{1 + (arrival >> 16U) % 400};
        queue.offer({++token, deadline, now}, 1, interval, now);
    }
    serve_until(now + std::chrono::seconds{10});
    RC_ASSERT(queue.size() == 0U);
}

} // namespace
} // namespace carawayway::steering

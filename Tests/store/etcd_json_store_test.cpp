// Guards the outcomes of store calls: a write that may have taken effect must never be reported as not
// written.
#include "carawayway/store/etcd_json_store.hpp"
#include "stand_ins/platform/platform_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <stdexcept>

namespace carawayway::store {
namespace {

class etcd_json_store_test : public testing::Test {
protected:
    static etcd_json_options options(std::vector<std::string> addresses,
                                     base::duration timeout = std::chrono::seconds(60)) {
        etcd_json_options made;
        made.addresses = std::move(addresses);
        made.call_timeout = timeout;
        made.connect_timeout = timeout;
        return made;
    }

    void run_until(const std::function<bool()>& done) {
        context.restart();
        while (!done()) {
            if (context.run_one() == 0) {
                throw std::logic_error("no operation is pending that could end the wait");
            }
        }
    }

    // Starts a call and runs the event loop until its handler is called.
    template <class Result, class Start>
    Result run_call(Start start) {
        std::optional<Result> result;
        start([&result](Result given) { result = std::move(given); });
        EXPECT_FALSE(result.has_value()) << "the handler ran inside the call";
        run_until([&result] { return result.has_value(); });
        return *std::move(result);
    }

    write_result write(etcd_json_store& to, std::int64_t expected, const std::string& value) {
        return run_call<write_result>(
            [&](auto handler) { to.compare_and_swap("key", expected, value, 0, handler); });
    }

    range_result read(etcd_json_store& from) {
        return run_call<range_result>([&](auto handler) { from.range("key", "", handler); });
    }

    void send_control(const std::string& message) { EXPECT_EQ(server.control(message), R"({"ok":true})"); }

    stand_ins::platform_server server;
    boost::asio::io_context context;
    etcd_json_store store{context.get_executor(), options({server.address()})};
};

TEST_F(etcd_json_store_test, exactly_one_of_two_writes_at_the_same_revision_succeeds) {
    const auto first = write(store, 0, "first");
    ASSERT_EQ(first.outcome, write_outcome::written);
    etcd_json_store other(context.get_executor(), options({server.address()}));
    std::vector<write_result> results;
    const auto collect = [&results](const write_result& result) { results.push_back(result); };
    store.compare_and_swap("key", first.revision, "mine", 0, collect);
    other.compare_and_swap("key", first.revision, "theirs", 0, collect);
    run_until([&results] { return results.size() == 2; });
    const auto won = [](const write_result& result) { return result.outcome == write_outcome::written; };
    const auto lost = [](const write_result& result) { return result.outcome == write_outcome::conflict; };
    EXPECT_EQ(std::count_if(results.begin(), results.end(), won), 1);
    EXPECT_EQ(std::count_if(results.begin(), results.end(), lost), 1);
    EXPECT_EQ(write(store, 0, "must not exist").outcome, write_outcome::conflict);
}

TEST_F(etcd_json_store_test, a_write_whose_reply_is_lost_has_an_unknown_outcome_and_can_be_read_back) {
    send_control(R"({"lose_replies_after_write":1})");
    EXPECT_EQ(write(store, 0, "change-17").outcome, write_outcome::outcome_unknown);
    const auto found = read(store);
    ASSERT_EQ(found.outcome, read_outcome::answered);
    ASSERT_EQ(found.values.size(), 1U);
    EXPECT_EQ(found.values[0].value, "change-17");
    EXPECT_EQ(found.values[0].mod_revision, found.revision);
}

TEST_F(etcd_json_store_test, a_write_that_was_never_sent_is_unavailable) {
    std::string refusing;
    {
        const stand_ins::platform_server stopped;
        refusing = stopped.address();
    }
    etcd_json_store unreachable(context.get_executor(), options({refusing}));
    EXPECT_EQ(write(unreachable, 0, "x").outcome, write_outcome::unavailable);
    EXPECT_EQ(read(unreachable).outcome, read_outcome::unavailable);
    etcd_json_store without_addresses(context.get_executor(), options({}));
    EXPECT_EQ(write(without_addresses, 0, "x").outcome, write_outcome::unavailable);
    etcd_json_store failing_over(context.get_executor(), options({refusing, server.address()}));
    EXPECT_EQ(write(failing_over, 0, "x").outcome, write_outcome::written);
}

TEST_F(etcd_json_store_test, a_write_to_a_store_that_closes_or_hangs_has_an_unknown_outcome) {
    send_control(R"({"down":true})");
    EXPECT_EQ(write(store, 0, "x").outcome, write_outcome::outcome_unknown);
    EXPECT_EQ(read(store).outcome, read_outcome::unavailable);
    send_control(R"({"down":false,"hang":true})");
    etcd_json_store with_short_timeout(context.get_executor(),
                                       options({server.address()}, std::chrono::milliseconds(50)));
    EXPECT_EQ(write(with_short_timeout, 0, "x").outcome, write_outcome::outcome_unknown);
    EXPECT_EQ(read(with_short_timeout).outcome, read_outcome::unavailable);
}

TEST_F(etcd_json_store_test, a_read_fails_over_from_a_store_that_hangs) {
    ASSERT_EQ(write(store, 0, "x").outcome, write_outcome::written);
    stand_ins::platform_server hanging;
    hanging.control(R"({"hang":true})");
    etcd_json_store both(context.get_executor(),
                         options({hanging.address(), server.address()}, std::chrono::seconds(4)));
    EXPECT_EQ(read(both).values.size(), 1U);
}

TEST_F(etcd_json_store_test, values_and_replies_above_their_limits_are_rejected) {
    const std::string large(std::size_t{1024} * 1024 + 1, 'x');
    EXPECT_EQ(write(store, 0, large).outcome, write_outcome::unavailable);
    ASSERT_EQ(write(store, 0, "0123456789").outcome, write_outcome::written);
    auto small = options({server.address()});
    small.maximum_reply_bytes = 50;
    etcd_json_store limited(context.get_executor(), small);
    EXPECT_EQ(read(limited).outcome, read_outcome::unavailable);
}

// Opens a watch and records what it delivers.
struct watch_record {
    cancel_handle start(etcd_json_store& store, std::int64_t revision) {
        return store.watch(
            "key", "", revision,
            [this](const watch_batch& batch) {
                opened = opened || batch.events.empty();
                for (const auto& event : batch.events) {
                    values.push_back(event.item.value);
                    last_revision = event.item.mod_revision;
                }
            },
            [this](const watch_closed& ended) { closed = ended; });
    }

    bool opened = false;
    std::vector<std::string> values;
    std::int64_t last_revision = 0;
    std::optional<watch_closed> closed;
};

TEST_F(etcd_json_store_test, a_watch_resumed_after_an_outage_misses_no_event) {
    watch_record record;
    auto handle = record.start(store, 0);
    run_until([&record] { return record.opened; });
    const auto first = write(store, 0, "one");
    run_until([&record] { return record.values.size() == 1; });
    send_control(R"({"down":true})");
    run_until([&record] { return record.closed.has_value(); });
    EXPECT_EQ(record.closed->reason, watch_end::unavailable);
    send_control(R"({"down":false})");
    const auto second = write(store, first.revision, "two");
    const auto third = write(store, second.revision, "three");
    handle = record.start(store, record.last_revision + 1);
    run_until([&record] { return record.values.size() == 3; });
    EXPECT_EQ(record.values, (std::vector<std::string>{"one", "two", "three"}));
    EXPECT_EQ(record.last_revision, third.revision);
}

TEST_F(etcd_json_store_test, a_watch_from_a_compacted_revision_is_closed_as_compacted) {
    const auto first = write(store, 0, "one");
    write(store, first.revision, "two");
    send_control(R"({"compact_revision":)" + std::to_string(first.revision) + "}");
    watch_record record;
    const auto handle = record.start(store, first.revision);
    run_until([&record] { return record.closed.has_value(); });
    EXPECT_EQ(record.closed->reason, watch_end::compacted);
    EXPECT_EQ(record.closed->compact_revision, first.revision);
}

TEST_F(etcd_json_store_test, a_cancelled_or_expired_watch_leaves_no_pending_operation) {
    auto short_lived = options({server.address()});
    short_lived.watch_lifetime = std::chrono::milliseconds(1);
    etcd_json_store expiring(context.get_executor(), short_lived);
    watch_record expired;
    const auto first = expired.start(expiring, 0);
    run_until([&expired] { return expired.closed.has_value(); });
    EXPECT_EQ(expired.closed->reason, watch_end::expired);

    watch_record cancelled;
    auto second = cancelled.start(store, 0);
    run_until([&cancelled] { return cancelled.opened; });
    second.cancel();
    write(store, 0, "unseen");
    context.restart();
    context.run(); // returns once no operation is pending
    EXPECT_TRUE(cancelled.values.empty());
    EXPECT_FALSE(cancelled.closed.has_value());
}

TEST_F(etcd_json_store_test, an_erased_key_no_longer_exists_and_can_be_erased_again) {
    const auto erase = [this] {
        return run_call<write_result>([&](auto handler) { store.erase("key", handler); }).outcome;
    };
    ASSERT_EQ(write(store, 0, "x").outcome, write_outcome::written);
    EXPECT_EQ(erase(), write_outcome::written);
    EXPECT_TRUE(read(store).values.empty());
    EXPECT_EQ(erase(), write_outcome::written);
    send_control(R"({"down":true})");
    EXPECT_EQ(erase(), write_outcome::outcome_unknown);
}

TEST_F(etcd_json_store_test, a_key_with_a_lease_exists_until_the_lease_is_revoked) {
    const auto granted = run_call<lease_result>(
        [&](auto handler) { store.grant_lease(std::chrono::milliseconds(59500), handler); });
    ASSERT_EQ(granted.outcome, write_outcome::written);
    EXPECT_EQ(granted.time_to_live, std::chrono::seconds(60));
    const auto attached = run_call<write_result>(
        [&](auto handler) { store.compare_and_swap("key", 0, "held", granted.id, handler); });
    EXPECT_EQ(attached.outcome, write_outcome::written);
    const auto keep = [&] {
        return run_call<lease_result>([&](auto handler) { store.keep_lease_alive(granted.id, handler); });
    };
    EXPECT_EQ(keep().outcome, write_outcome::written);
    const auto revoked =
        run_call<lease_result>([&](auto handler) { store.revoke_lease(granted.id, handler); });
    EXPECT_EQ(revoked.outcome, write_outcome::written);
    EXPECT_TRUE(read(store).values.empty());
    EXPECT_EQ(keep().outcome, write_outcome::conflict);
}

} // namespace
} // namespace carawayway::store

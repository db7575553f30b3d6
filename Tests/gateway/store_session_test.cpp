// How a gateway follows the store when the store falls silent and returns.
#include "Tests/gateway/scripted_store.hpp"
#include "carawayway/gateway/store_session.hpp"
#include "platform/protocol.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <algorithm>

namespace carawayway::gateway {
namespace {

class store_session_test : public testing::Test {
protected:
    using session = store_session<platform::protocol>;

    static bool is_watch(const std::string& target) { return target.starts_with("/kv-watch"); }
    static bool is_long_watch(const std::string& target) {
        return is_watch(target) &&
               target.ends_with("waitMs=" + std::to_string(base::to_milliseconds(session::watch_wait)));
    }

    static scripted_answer empty_listing() {
        return {store_reaction::answer, R"({"items":[],"hasMore":false,"currentRev":1})"};
    }
    static scripted_answer no_events() { return {store_reaction::answer, R"({"events":[],"currentRev":1})"}; }
    static scripted_answer silence() { return {store_reaction::stay_silent, {}}; }

    // Runs a session against a store that answers with `on_call` until `stop` is called.
    void run(scripted_store::call_handler on_call, scripted_store::end_handler on_end) {
        scripted_store store(m_context, std::move(on_call), std::move(on_end));
        session followed(
            m_context.get_executor(), store.endpoint(), fleet::gateway_facts{}, session::lease_lifetime,
            m_facts, [](const std::vector<fleet::fact>&) {},
            [] { return std::vector<boost::asio::ip::tcp::endpoint>{}; });
        followed.start();
        m_context.run();
    }
    void stop() { m_context.stop(); }

    fleet::fact_log m_facts;
    boost::asio::io_context m_context;
};

// Guards against a long watch that begins while the store is silent: it stays unanswered for its whole time,
// and a configuration acknowledged in between comes into force too late.
TEST_F(store_session_test, watches_after_trouble_are_short_until_one_is_answered) {
    std::vector<std::string> watches;
    run(
        [&](const std::string& target) -> scripted_answer {
            if (target.starts_with("/kv-range")) {
                return empty_listing();
            }
            if (!is_watch(target)) {
                return silence();
            }
            watches.push_back(target);
            if (watches.size() <= 2) {
                return {store_reaction::close, {}};
            }
            if (watches.size() == 4) {
                stop();
            }
            return no_events();
        },
        [](const std::string&) {});
    ASSERT_EQ(watches.size(), 4U);
    EXPECT_TRUE(is_long_watch(watches[0]));
    EXPECT_FALSE(is_long_watch(watches[1]));
    EXPECT_FALSE(is_long_watch(watches[2]));
    EXPECT_TRUE(is_long_watch(watches[3]));
}

// Guards against a watch that outlives a silent store while the gateway has no entry: no renewal runs that
// would notice the silence.
TEST_F(store_session_test, an_unanswered_grant_ends_the_waiting_watch) {
    int grants_before_end = 0;
    std::string ended;
    run(
        [&](const std::string& target) -> scripted_answer {
            if (target.starts_with("/kv-range")) {
                return empty_listing();
            }
            if (!is_watch(target)) {
                ++grants_before_end;
            }
            return silence();
        },
        [&](const std::string& target) {
            if (is_watch(target)) {
                ended = target;
                stop();
            }
        });
    EXPECT_TRUE(is_long_watch(ended));
    EXPECT_EQ(grants_before_end, 1);
}

} // namespace
} // namespace carawayway::gateway

// Tests of the writes of quarantined content against a scripted store.
#include "Tests/gateway/scripted_store.hpp"
#include "carawayway/gateway/quarantine_publisher.hpp"
#include "platform/protocol.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace carawayway::gateway {
namespace {

using testing::ElementsAre;

class quarantine_publisher_test : public testing::Test {
protected:
    // Publishes one change. Returns the targets of the calls until a write succeeds.
    std::vector<std::string> publish(const quarantine_change& change = {7, 3, false}) {
        std::vector<std::string> calls;
        bool written = false;
        boost::asio::io_context context;
        scripted_store store(
            context,
            [&](const std::string& target) -> scripted_answer {
                calls.push_back(target);
                const auto reaction = m_reactions.empty() ? store_reaction::answer : m_reactions.front();
                if (!m_reactions.empty()) {
                    m_reactions.erase(m_reactions.begin());
                }
                written = target == "/kv-txn" && reaction == store_reaction::answer;
                return {reaction, R"({"lease":5,"ttlMs":600000,"rev":9})"};
            },
            [](const std::string&) {});
        quarantine_publisher<platform::protocol> publisher(context.get_executor(), store.endpoint(), "g-1");
        publisher.publish(change);
        while (!written) {
            context.run_one();
        }
        return calls;
    }

    std::vector<store_reaction> m_reactions; // to the first calls
};

TEST_F(quarantine_publisher_test, the_keys_are_written_under_leases_of_their_own) {
    EXPECT_THAT(publish(), ElementsAre("/kv-lease", "/kv-lease", "/kv-txn"));
}

TEST_F(quarantine_publisher_test, the_end_of_a_quarantine_keeps_nobody_from_trials) {
    EXPECT_THAT(publish({7, 3, true}), ElementsAre("/kv-lease", "/kv-txn"));
}

TEST_F(quarantine_publisher_test, answers_are_written_under_a_lease) {
    EXPECT_THAT(publish({7, 0, false, 0b11}), ElementsAre("/kv-lease", "/kv-txn"));
}

// Guards against a quarantine that gateways which start later do not learn, because one call failed.
TEST_F(quarantine_publisher_test, a_write_without_an_answer_is_repeated) {
    m_reactions = {store_reaction::close,  store_reaction::answer, store_reaction::close,
                   store_reaction::answer, store_reaction::answer, store_reaction::close};
    EXPECT_THAT(publish(), ElementsAre("/kv-lease",                         //
                                       "/kv-lease", "/kv-lease",            //
                                       "/kv-lease", "/kv-lease", "/kv-txn", //
                                       "/kv-lease", "/kv-lease", "/kv-txn"));
}

} // namespace
} // namespace carawayway::gateway

// Tests of when a gateway takes itself for partitioned from all servers.
#include "carawayway/placement/server_contact.hpp"

#include <gtest/gtest.h>

namespace carawayway::placement {
namespace {

using namespace std::chrono_literals;

const base::time_point start{std::chrono::seconds{1000}};

class server_contact_test : public testing::Test {
protected:
    void fail_servers(int count) {
        for (int server = 0; server < count; ++server) {
            m_contact.record_failure("i-" + std::to_string(server), start);
        }
    }

    void lose_contact() {
        fail_servers(3);
        m_contact.begin_check();
        EXPECT_TRUE(m_contact.record_failed_check(start));
    }

    server_contact m_contact;
};

TEST_F(server_contact_test, contact_is_in_doubt_when_several_servers_in_a_row_fail) {
    fail_servers(2);
    EXPECT_FALSE(m_contact.is_check_due(start));
    fail_servers(3);
    EXPECT_EQ(m_contact.state(), contact_state::doubtful);
    EXPECT_TRUE(m_contact.is_check_due(start));
    EXPECT_FALSE(m_contact.is_lost()) << "not before the check";
}

// Guards against a gateway that gives up all servers because one of them fails.
TEST_F(server_contact_test, one_server_that_fails_again_and_again_raises_no_doubt) {
    for (int failure = 0; failure < 10; ++failure) {
        m_contact.record_failure("i-1", start);
    }
    EXPECT_EQ(m_contact.state(), contact_state::held);
}

TEST_F(server_contact_test, a_connection_between_failures_shows_that_there_is_contact) {
    fail_servers(2);
    EXPECT_FALSE(m_contact.record_connection());
    m_contact.record_failure("i-8", start);
    m_contact.record_failure("i-9", start);
    EXPECT_EQ(m_contact.state(), contact_state::held);
}

// Guards against a failure of many servers that is taken for a partition.
TEST_F(server_contact_test, a_check_that_reaches_a_server_ends_the_doubt) {
    fail_servers(3);
    m_contact.begin_check();
    EXPECT_FALSE(m_contact.is_check_due(start)) << "one check at a time";
    EXPECT_FALSE(m_contact.record_passed_check()) << "contact was not lost";
    EXPECT_EQ(m_contact.state(), contact_state::held);
}

TEST_F(server_contact_test, a_check_that_reaches_no_server_shows_that_contact_is_lost) {
    lose_contact();
    EXPECT_TRUE(m_contact.is_lost());
    EXPECT_EQ(m_contact.failing_since(), start);
}

TEST_F(server_contact_test, a_connection_during_a_check_counts_more_than_its_result) {
    fail_servers(3);
    m_contact.begin_check();
    m_contact.record_connection();
    EXPECT_FALSE(m_contact.record_failed_check(start));
    EXPECT_FALSE(m_contact.is_lost());
}

TEST_F(server_contact_test, checks_are_repeated_until_contact_returns) {
    lose_contact();
    EXPECT_FALSE(m_contact.is_check_due(start + 499ms));
    EXPECT_TRUE(m_contact.is_check_due(start + 500ms));
    m_contact.begin_check();
    EXPECT_FALSE(m_contact.record_failed_check(start + 600ms)) << "lost before";
    EXPECT_TRUE(m_contact.is_check_due(start + 1100ms));
    m_contact.begin_check();
    EXPECT_TRUE(m_contact.record_passed_check());
    EXPECT_EQ(m_contact.state(), contact_state::held);
    EXPECT_FALSE(m_contact.is_check_due(start + std::chrono::seconds{10}));
}

TEST_F(server_contact_test, failures_after_contact_has_returned_are_counted_anew) {
    lose_contact();
    EXPECT_TRUE(m_contact.record_connection());
    fail_servers(2);
    EXPECT_EQ(m_contact.state(), contact_state::held);
}

} // namespace
} // namespace carawayway::placement

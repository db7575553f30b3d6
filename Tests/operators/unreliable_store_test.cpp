// Tests a store that loses replies at different points: a write that took effect must not be reported as
// failed, and no change may be written twice.
#include "Tests/operators/editor_fixture.hpp"
#include "Tests/operators/memory_store.hpp"

namespace carawayway::operators {
namespace {

using base::error_kind;
using store::write_outcome;
using store::write_result;

const std::string policy_key = "/policy";
const write_result lost_reply{write_outcome::outcome_unknown, 0, "reply lost"};

class unreliable_store_test : public coroutine_test {
protected:
    unreliable_store_test() { first = apply(sample_document("change-0"), 0).value().revision; }

    std::optional<change_reply> apply(const std::string& text, std::int64_t expected) {
        error = {};
        auto reply = run(editor.apply(apply_request(text, expected), {}, error));
        run_to_idle();
        return reply;
    }

    memory_store store{context.get_executor()};
    policy_editor<memory_store> editor{context.get_executor(), store, policy_key, test_clock};
    call_error error;
    std::int64_t first = 0;
};

TEST_F(unreliable_store_test, an_outcome_that_cannot_be_read_back_is_unknown) {
    store.intercept_next_write = [this](const std::string& key, const std::string& value) {
        store.write(key, first, value);
        store.reads_available = false;
        return lost_reply;
    };
    EXPECT_FALSE(apply(sample_document("change-1"), first).has_value());
    EXPECT_EQ(error.kind, error_kind::store_outcome_unknown);
    store.reads_available = true;
    const auto again = apply(sample_document("change-1"), first);
    EXPECT_EQ(again.value().outcome, change_outcome::unchanged)
        << "a repeated request must not be written again";
    EXPECT_EQ(store.writes[policy_key], 2);
}

TEST_F(unreliable_store_test, a_write_that_may_still_take_effect_is_not_reported_as_failed) {
    store.intercept_next_write = [](const std::string&, const std::string&) { return lost_reply; };
    EXPECT_FALSE(apply(sample_document("change-1"), first).has_value());
    EXPECT_EQ(error.kind, error_kind::store_outcome_unknown);
    EXPECT_EQ(error.current.value().change_id, "change-0");
    EXPECT_EQ(store.writes[policy_key], 1) << "the change must not be written again";
}

TEST_F(unreliable_store_test, a_write_that_was_replaced_before_it_was_read_back_is_found_in_the_history) {
    std::int64_t own_revision = 0;
    store.intercept_next_write = [this, &own_revision](const std::string& key, const std::string& value) {
        own_revision = store.write(key, first, value).revision;
        policy_editor<memory_store> other(context.get_executor(), store, policy_key, test_clock);
        std::optional<std::optional<change_reply>> other_reply;
        call_error ignored;
        start(other.apply(apply_request(sample_document("change-2"), own_revision), {}, ignored),
              other_reply);
        context.poll(); // writes the other change and its history
        return lost_reply;
    };
    const auto reply = apply(sample_document("change-1"), first);
    ASSERT_TRUE(reply.has_value()) << error.detail;
    EXPECT_EQ(reply->change_id, "change-1");
    EXPECT_EQ(reply->revision, own_revision);
    EXPECT_EQ(store.values[policy_key].value, sample_document("change-2"));
}

TEST_F(unreliable_store_test, another_change_after_a_lost_reply_leaves_the_outcome_unknown) {
    store.intercept_next_write = [this](const std::string& key, const std::string&) {
        store.write(key, first, sample_document("change-2"));
        return lost_reply;
    };
    EXPECT_FALSE(apply(sample_document("change-1"), first).has_value());
    EXPECT_EQ(error.kind, error_kind::store_outcome_unknown);
    EXPECT_EQ(error.current.value().change_id, "change-2");
}

TEST_F(unreliable_store_test, a_write_that_was_not_sent_changes_nothing) {
    store.intercept_next_write = [](const std::string&, const std::string&) {
        return write_result{write_outcome::unavailable, 0, "refused"};
    };
    EXPECT_FALSE(apply(sample_document("change-1"), first).has_value());
    EXPECT_EQ(error.kind, error_kind::store_unavailable);
    EXPECT_EQ(store.values[policy_key].value, sample_document("change-0"));
}

TEST_F(unreliable_store_test, a_history_that_cannot_be_written_does_not_fail_the_change) {
    store.intercept_next_write = [this](const std::string& key, const std::string& value) {
        store.intercept_next_write = [](const std::string&, const std::string&) { return lost_reply; };
        return store.write(key, first, value);
    };
    const auto reply = apply(sample_document("change-1"), first);
    EXPECT_EQ(reply.value().outcome, change_outcome::written);
    const auto list = run(editor.list_revisions(error));
    EXPECT_EQ(list.value().revisions.front()->change_id, "change-1");
}

} // namespace
} // namespace carawayway::operators

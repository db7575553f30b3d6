// Tests that changes of the policy in the store are not lost, not written twice, and have a clear outcome.
#include "Tests/operators/editor_fixture.hpp"
#include "carawayway/config/policy_reader.hpp"
#include "carawayway/store/etcd_json_store.hpp"
#include "stand_ins/platform/platform_server.hpp"

#include <algorithm>

namespace carawayway::operators {
namespace {

using base::error_kind;

const std::string policy_key = "/carawayway/policy";

class policy_editor_test : public coroutine_test {
protected:
    using store_editor = policy_editor<store::etcd_json_store>;

    static store::etcd_json_options options(const std::string& address) {
        store::etcd_json_options made;
        made.addresses = {address};
        made.call_timeout = std::chrono::seconds(60);
        made.connect_timeout = std::chrono::seconds(60);
        return made;
    }

    std::optional<change_reply> apply(const std::string& text, std::int64_t expected) {
        error = {};
        return run(editor.apply(apply_request(text, expected), {}, error));
    }

    std::optional<change_reply> drain(drain_kind kind, const std::string& name,
                                      const entry_names& known = {}) {
        drain_request request;
        request.kind = kind;
        request.name = name;
        const store_editor::edit_function change = [&](const std::string& text, call_error& reason) {
            return with_drain_state(text, request, drain_state::draining, known, reason);
        };
        return run(editor.edit(change, change_mode::write, known, error));
    }

    stored_policy current() { return run(editor.read_current(error)).value(); }

    std::vector<std::int64_t> listed_revisions() {
        run_to_idle();
        std::vector<std::int64_t> revisions;
        const auto list = run(editor.list_revisions(error));
        for (const auto& record : list.value().revisions) {
            revisions.push_back(record->revision);
        }
        return revisions;
    }

    // Counts the writes of the policy by the change events of the store.
    std::size_t writes() {
        std::size_t count = 0;
        const std::int64_t last = current().revision;
        std::int64_t seen = last == 0 ? 0 : -1;
        auto watch = store.watch(
            policy_key, "", 1,
            [&](const store::watch_batch& batch) {
                for (const auto& event : batch.events) {
                    ++count;
                    seen = event.item.mod_revision;
                }
            },
            [](const store::watch_closed&) {});
        run_until([&] { return seen == last; });
        watch.cancel();
        return count;
    }

    void command(const std::string& message) { ASSERT_EQ(server.control(message), R"({"ok":true})"); }

    stand_ins::platform_server server;
    store::etcd_json_store store{context.get_executor(), options(server.address())};
    store::etcd_json_store other_store{context.get_executor(), options(server.address())};
    store_editor editor{context.get_executor(), store, policy_key, test_clock};
    store_editor other_editor{context.get_executor(), other_store, policy_key, test_clock};
    call_error error;
};

TEST_F(policy_editor_test, exactly_one_of_two_changes_with_the_same_expected_revision_succeeds) {
    const auto first = apply(sample_document("change-0"), 0);
    ASSERT_TRUE(first.has_value()) << error.detail;
    std::optional<std::optional<change_reply>> own_reply;
    std::optional<std::optional<change_reply>> other_reply;
    call_error own_error;
    call_error other_error;
    start(
        editor.apply(apply_request(sample_document("change-mine", "by me"), first->revision), {}, own_error),
        own_reply);
    start(other_editor.apply(apply_request(sample_document("change-theirs", "by them"), first->revision), {},
                             other_error),
          other_reply);
    run_until([&] { return own_reply && other_reply; });
    ASSERT_NE(own_reply->has_value(), other_reply->has_value());
    const auto& lost = own_reply->has_value() ? other_error : own_error;
    const auto& won = own_reply->has_value() ? **own_reply : **other_reply;
    EXPECT_EQ(lost.kind, error_kind::policy_conflict);
    const std::string comment = own_reply->has_value() ? "by me" : "by them";
    EXPECT_EQ(lost.current, (revision_summary{won.revision, won.change_id, comment}));
    EXPECT_EQ(current().revision, won.revision);
    EXPECT_EQ(writes(), 2U);
}

TEST_F(policy_editor_test, an_outdated_expected_revision_is_a_conflict_and_changes_nothing) {
    const auto first = apply(sample_document("change-0"), 0);
    EXPECT_FALSE(apply(sample_document("change-1"), 0).has_value());
    EXPECT_EQ(error.kind, error_kind::policy_conflict);
    EXPECT_FALSE(apply(sample_document("change-1"), first->revision + 1).has_value());
    EXPECT_EQ(error.kind, error_kind::policy_conflict);
    EXPECT_EQ(current(), (stored_policy{first->revision, sample_document("change-0")}));
}

TEST_F(policy_editor_test, a_lost_reply_to_a_write_is_resolved_without_a_second_write) {
    const auto first = apply(sample_document("change-0"), 0);
    run_to_idle();
    command(R"({"lose_replies_after_write":1})");
    const auto second = apply(sample_document("change-1"), first->revision);
    ASSERT_TRUE(second.has_value()) << error.detail;
    EXPECT_EQ(second->outcome, change_outcome::written);
    EXPECT_EQ(second->change_id, "change-1");
    EXPECT_EQ(current(), (stored_policy{second->revision, sample_document("change-1")}));
    EXPECT_EQ(writes(), 2U);
}

TEST_F(policy_editor_test, during_an_outage_calls_fail_and_change_nothing) {
    const auto first = apply(sample_document("change-0"), 0);
    run_to_idle();
    command(R"({"down":true})");
    EXPECT_FALSE(apply(sample_document("change-1"), first->revision).has_value());
    EXPECT_EQ(error.kind, error_kind::store_unavailable);
    EXPECT_FALSE(drain(drain_kind::server, "stock-1").has_value());
    EXPECT_EQ(error.kind, error_kind::store_unavailable);
    EXPECT_FALSE(run(editor.list_revisions(error)).has_value());
    EXPECT_EQ(error.kind, error_kind::store_unavailable);
    command(R"({"down":false})");
    EXPECT_EQ(current().revision, first->revision);
    EXPECT_EQ(writes(), 1U);
}

TEST_F(policy_editor_test, an_unchanged_document_is_not_written_again) {
    const auto first = apply(sample_document("change-0"), 0);
    for (const auto expected : {std::int64_t{0}, first->revision, first->revision + 7}) {
        const auto again = apply(sample_document("change-0"), expected);
        ASSERT_TRUE(again.has_value()) << error.detail;
        EXPECT_EQ(again->outcome, change_outcome::unchanged);
        EXPECT_EQ(again->revision, first->revision);
    }
    EXPECT_EQ(writes(), 1U);
}

TEST_F(policy_editor_test, a_dry_run_checks_and_writes_nothing) {
    auto request = apply_request(sample_document("change-0"), 0);
    request.dry_run = true;
    const auto reply = run(editor.apply(request, {}, error));
    EXPECT_EQ(reply.value().outcome, change_outcome::would_change);
    request.policy = "[policy]\nchange_id = x y\n";
    EXPECT_FALSE(run(editor.apply(request, {}, error)).has_value());
    EXPECT_EQ(error.kind, error_kind::policy_invalid);
    EXPECT_EQ(writes(), 0U);
}

TEST_F(policy_editor_test, a_rollback_is_a_new_revision_with_the_old_text_and_a_fresh_change_id) {
    const auto first = apply(sample_document("change-0"), 0);
    const auto second = apply(sample_document("change-1", "a mistake"), first->revision);
    run_to_idle();
    const auto old = run(editor.read_revision(first->revision, error));
    ASSERT_TRUE(old.has_value()) << error.detail;
    EXPECT_EQ(old->text, sample_document("change-0"));
    const auto third = apply(with_fresh_change_id(old->text), second->revision);
    ASSERT_TRUE(third.has_value()) << error.detail;
    EXPECT_GT(third->revision, second->revision);
    EXPECT_NE(third->change_id, "change-0");
    EXPECT_EQ(with_value(current().text, "policy", "change_id", "change-0"), sample_document("change-0"));
    EXPECT_FALSE(apply(sample_document(third->change_id, "other text"), third->revision).has_value());
    EXPECT_EQ(error.kind, error_kind::policy_invalid) << "a reused change ID could not resolve a lost reply";
}

TEST_F(policy_editor_test, draining_the_last_server_of_a_service_is_rejected) {
    const auto first = apply(sample_document("change-0"), 0);
    EXPECT_FALSE(drain(drain_kind::server, "booking-1").has_value());
    EXPECT_EQ(error.kind, error_kind::policy_invalid);
    EXPECT_FALSE(drain(drain_kind::domain, "s1").has_value());
    EXPECT_EQ(error.kind, error_kind::policy_invalid);
    ASSERT_TRUE(drain(drain_kind::server, "stock-1").has_value()) << error.detail;
    const auto drained_once = current();
    EXPECT_GT(drained_once.revision, first->revision);
    EXPECT_FALSE(drain(drain_kind::domain, "n2").has_value());
    EXPECT_EQ(error.kind, error_kind::policy_invalid);
    EXPECT_EQ(current(), drained_once);
    EXPECT_EQ(drain(drain_kind::server, "stock-1").value().outcome, change_outcome::unchanged);
    EXPECT_EQ(writes(), 2U);
}

TEST_F(policy_editor_test, two_concurrent_drains_both_take_effect) {
    ASSERT_TRUE(apply(sample_document("change-0"), 0).has_value());
    run_to_idle();
    const auto set_state = [](const std::string& section) {
        return [section](const std::string& text, call_error&) {
            return std::optional(with_value(text, section, "state", "draining"));
        };
    };
    std::optional<std::optional<change_reply>> own_reply;
    std::optional<std::optional<change_reply>> other_reply;
    call_error own_error;
    call_error other_error;
    start(editor.edit(set_state("server stock-1"), change_mode::write, {}, own_error), own_reply);
    start(other_editor.edit(set_state("domain n1"), change_mode::write, {}, other_error), other_reply);
    run_until([&] { return own_reply && other_reply; });
    EXPECT_TRUE(own_reply->has_value()) << own_error.detail;
    EXPECT_TRUE(other_reply->has_value()) << other_error.detail;
    std::vector<config::diagnostic> diagnostics;
    const auto policy = config::read_valid_policy(current().text, "policy", diagnostics);
    EXPECT_EQ(policy.value().find_server("stock-1")->state, config::administrative_state::draining);
    EXPECT_EQ(policy.value().find_failure_domain("n1")->state, config::administrative_state::draining);
    EXPECT_EQ(writes(), 3U);
}

TEST_F(policy_editor_test, the_history_keeps_the_newest_documents_and_erases_older_ones) {
    std::vector<std::int64_t> written;
    std::int64_t revision = 0;
    constexpr std::size_t kept = policy_history<store::etcd_json_store>::maximum_documents;
    for (std::size_t number = 0; number < kept + 3; ++number) {
        revision = apply(sample_document("change-" + std::to_string(number)), revision).value().revision;
        written.insert(written.begin(), revision);
        run_to_idle();
    }
    const std::vector<std::int64_t> newest(written.begin(), written.begin() + kept);
    EXPECT_EQ(listed_revisions(), newest);
    EXPECT_EQ(run(editor.read_revision(newest.back(), error)).value().text, sample_document("change-3"));
    EXPECT_FALSE(run(editor.read_revision(written.back(), error)).has_value());
    EXPECT_EQ(error.kind, error_kind::not_found);
}

TEST_F(policy_editor_test, a_document_missing_from_the_history_is_added_by_the_next_writer) {
    std::optional<store::write_result> put;
    store.compare_and_swap(policy_key, 0, sample_document("change-0"), 0,
                           [&put](const store::write_result& result) { put = result; });
    run_until([&put] { return put.has_value(); });
    EXPECT_EQ(listed_revisions(), (std::vector{put->revision})) << "the current revision is always listed";
    const auto second = apply(sample_document("change-1"), put->revision);
    EXPECT_EQ(listed_revisions(), (std::vector{second.value().revision, put->revision}));
    EXPECT_EQ(run(editor.read_revision(put->revision, error)).value().text, sample_document("change-0"));
}

} // namespace
} // namespace carawayway::operators

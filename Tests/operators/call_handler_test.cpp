// Tests the responses to calls: status codes, problem documents, and responses during a store outage.
#include "Tests/operators/editor_fixture.hpp"
#include "Tests/operators/memory_store.hpp"
#include "carawayway/operators/call_handler.hpp"
#include "carawayway/operators/operators_bfbs_generated.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <flatbuffers/reflection.h>

namespace carawayway::operators {
namespace {

class call_handler_test : public coroutine_test {
protected:
    call_handler_test() {
        report.members = {{"north-1", "n1", "north", "running", 3, engine::member_reach::reachable},
                          {"north-2", "n2", "north", "alive", 2, engine::member_reach::reachable},
                          {"south-1", "s1", "south", "suspected", 3, engine::member_reach::not_reachable}};
        report.entry = "north-1";
        report.revision = 3;
        report.policy_document = sample_document("change-3");
    }

    call_response post(const std::string& name, const std::string& body) {
        return run(calls.handle({name, body, message_encoding::json, message_encoding::json}));
    }

    static boost::json::object parse(const std::string& text) { return boost::json::parse(text).as_object(); }

    static boost::asio::awaitable<std::optional<engine::explain_report>> no_explanation() {
        co_return std::nullopt;
    }

    boost::asio::awaitable<std::optional<engine::status_report>> status() { co_return report; }

    memory_store store{context.get_executor()};
    policy_editor<memory_store> editor{context.get_executor(), store, "/policy", test_clock};
    engine::status_report report;
    call_handler<memory_store> calls{
        editor,
        {[this] { return status(); },
         [](const std::string&, const std::string&) { return no_explanation(); }}};
};

TEST_F(call_handler_test, every_call_of_the_schema_has_a_handler) {
    const auto* schema = reflection::GetSchema(schema::status_replyBinarySchema::data());
    const auto* service = schema->services()->Get(0);
    EXPECT_EQ(service->calls()->size(), 8U);
    for (const auto* item : *service->calls()) {
        const auto answer = post(item->name()->str(), R"({"unknown_field":1})");
        EXPECT_EQ(answer.kind, base::error_kind::request_invalid) << item->name()->str();
        EXPECT_EQ(answer.status, 400U);
    }
    EXPECT_EQ(post("Unknown", "{}").status, 404U);
}

TEST_F(call_handler_test, a_conflict_reports_the_current_change) {
    store.write("/policy", 0, sample_document("change-9", "by the night shift"));
    apply_policy_request request = apply_request(sample_document("change-1"), 0);
    base::failure failure;
    const auto answer = post("ApplyPolicy", encode(request, message_encoding::json, failure).value());
    EXPECT_EQ(answer.status, 409U);
    EXPECT_EQ(answer.content_type, "application/problem+json");
    const auto problem = parse(answer.body);
    EXPECT_EQ(problem.at("kind"), "policy-conflict");
    EXPECT_EQ(problem.at("current_revision"), store.values["/policy"].mod_revision);
    EXPECT_EQ(problem.at("current_change_id"), "change-9");
    EXPECT_EQ(problem.at("current_comment"), "by the night shift");
}

TEST_F(call_handler_test, an_invalid_policy_is_rejected_with_all_diagnostics) {
    apply_policy_request request = apply_request("[policy]\nchange_id = a\nx = 1\ny = 2\n", 0);
    base::failure failure;
    const auto answer = post("ApplyPolicy", encode(request, message_encoding::json, failure).value());
    EXPECT_EQ(answer.status, 422U);
    const auto problem = parse(answer.body);
    ASSERT_EQ(problem.at("diagnostics").as_array().size(), 2U) << answer.body;
    EXPECT_EQ(problem.at("diagnostics").as_array()[0].at("line"), 3);
}

TEST_F(call_handler_test, diagnostics_with_truncated_names_are_utf8) {
    std::string key = "k";
    for (int character = 0; character < 60; ++character) {
        key += "ö"; // two bytes, so that the limit falls within a character
    }
    const auto request = apply_request("[policy]\nchange_id = a\n" + key + " = 1\n", 0);
    base::failure failure;
    const auto answer = post("ApplyPolicy", encode(request, message_encoding::json, failure).value());
    boost::json::error_code error;
    boost::json::parse(answer.body, error);
    EXPECT_FALSE(error) << error.message() << ": " << answer.body;
}

TEST_F(call_handler_test, the_status_shows_which_entries_are_behind_or_not_reachable) {
    const auto answer = post("Status", "{}");
    const auto status = parse(answer.body);
    EXPECT_EQ(status.at("newest_revision"), 3);
    const auto& entries = status.at("entries").as_array();
    EXPECT_EQ(entries.at(0).at("policy"), "in_force");
    EXPECT_EQ(entries.at(1).at("policy"), "behind");
    EXPECT_EQ(entries.at(2).at("policy"), "not_reachable");
}

TEST_F(call_handler_test, during_a_store_outage_the_policy_in_force_is_readable_and_changes_fail) {
    store.reads_available = false;
    const auto policy = parse(post("GetPolicy", "{}").body);
    EXPECT_EQ(policy.at("source"), "entry");
    EXPECT_EQ(policy.at("revision"), 3);
    EXPECT_EQ(policy.at("policy"), boost::json::string(sample_document("change-3")));
    EXPECT_EQ(post("GetPolicy", R"({"revision":2})").status, 503U);
    const auto drained = post("Drain", R"({"kind":"server","name":"stock-1"})");
    EXPECT_EQ(drained.kind, base::error_kind::store_unavailable);
    EXPECT_TRUE(store.writes.empty());
}

TEST_F(call_handler_test, binary_responses_are_sent_on_request) {
    const call_request request{"Status", "{}", message_encoding::json, message_encoding::binary};
    const auto answer = run(calls.handle(request));
    EXPECT_EQ(answer.content_type, "application/octet-stream");
    base::failure failure;
    const auto status = decode<status_reply>(answer.body, message_encoding::binary, failure);
    EXPECT_EQ(status.value().entry, "north-1");
}

} // namespace
} // namespace carawayway::operators

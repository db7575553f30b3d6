// Handles the calls of operators independently of the transport: maps a call name and a body to a status and
// a body.
#pragma once

#include "carawayway/operators/message_codec.hpp"
#include "carawayway/operators/policy_editor.hpp"
#include "carawayway/operators/report_messages.hpp"

#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace carawayway::operators {

struct call_request {
    std::string name; // as in the rpc_service of operators.fbs
    std::string body;
    message_encoding body_encoding = message_encoding::json;
    message_encoding response_encoding = message_encoding::json;

    bool operator==(const call_request&) const = default;
};

struct call_response {
    std::uint16_t status = 500;
    std::string content_type;
    std::string body;
    std::optional<base::error_kind> kind; // set if the body is a problem document

    bool operator==(const call_response&) const = default;
};

// Queries to the entry instance. Each returns nothing if the steering thread does not answer.
struct entry_queries {
    std::function<boost::asio::awaitable<std::optional<engine::status_report>>()> status;
    std::function<boost::asio::awaitable<std::optional<engine::explain_report>>(std::string service,
                                                                                std::string client)>
        explain;
};

inline call_response error_response(const call_error& error) {
    return {base::answer_for(error.kind).status, "application/problem+json", problem_document(error),
            error.kind};
}

template <store::config_store Store>
class call_handler {
public:
    // `editor` must outlive the handler.
    call_handler(policy_editor<Store>& editor, entry_queries queries)
        : m_editor(editor), m_queries(std::move(queries)) {}

    boost::asio::awaitable<call_response> handle(call_request request) {
        call_error error;
        std::optional<call_response> response;
        for (const auto& item : routes) {
            if (item.name == request.name) {
                auto operation = (this->*item.handler)(request, error);
                response = co_await std::move(operation);
                co_return response ? std::move(*response) : error_response(error);
            }
        }
        error.kind = base::error_kind::not_found;
        error.detail = "unknown call";
        co_return error_response(error);
    }

private:
    using awaitable_response = boost::asio::awaitable<std::optional<call_response>>;

    struct route {
        std::string_view name;
        awaitable_response (call_handler::*handler)(const call_request&, call_error&);
    };

    template <class Message>
    static std::optional<Message> decode_request(const call_request& request, call_error& error) {
        base::failure failure;
        auto message = decode<Message>(request.body, request.body_encoding, failure);
        if (!message) {
            error.kind = failure.kind;
            error.detail = std::move(failure.detail);
        }
        return message;
    }

    template <class Message>
    static std::optional<call_response>
    encode_reply(const call_request& request, const std::optional<Message>& message, call_error& error) {
        if (!message) {
            return std::nullopt;
        }
        base::failure failure;
        auto body = encode(*message, request.response_encoding, failure);
        if (!body) {
            // A policy that was written to the store by other tools may not be UTF-8.
            error.kind = base::error_kind::internal;
            error.detail = "the response is not valid UTF-8; request application/octet-stream instead";
            return std::nullopt;
        }
        const bool json = request.response_encoding == message_encoding::json;
        return call_response{
            200, json ? "application/json" : "application/octet-stream", std::move(*body), {}};
    }

    boost::asio::awaitable<std::optional<engine::status_report>> query_status(call_error& error) {
        auto query = m_queries.status();
        auto report = co_await std::move(query);
        if (!report) {
            error.kind = base::error_kind::overloaded;
            error.detail = "the steering thread does not answer";
        }
        co_return report;
    }

    // Empty if the steering thread does not answer, so that changes remain possible.
    boost::asio::awaitable<entry_names> known_entries() {
        call_error ignored;
        const auto report = co_await query_status(ignored);
        entry_names names;
        if (report) {
            for (const auto& member : report->members) {
                names.push_back(member.name);
            }
        }
        co_return names;
    }

    awaitable_response apply_policy(const call_request& request, call_error& error) {
        auto message = decode_request<apply_policy_request>(request, error);
        if (!message) {
            co_return std::nullopt;
        }
        auto known = co_await known_entries();
        auto operation = m_editor.apply(std::move(*message), std::move(known), error);
        const auto reply = co_await std::move(operation);
        co_return encode_reply(request, reply, error);
    }

    awaitable_response get_policy(const call_request& request, call_error& error) {
        const auto message = decode_request<get_policy_request>(request, error);
        if (!message) {
            co_return std::nullopt;
        }
        auto source = policy_source::store;
        auto policy = co_await m_editor.read_current(error);
        if (message->revision != 0 && policy && policy->revision != message->revision) {
            source = policy_source::history;
            policy = co_await m_editor.read_revision(message->revision, error);
        } else if (!policy) {
            source = policy_source::entry;
            policy = co_await policy_in_force(message->revision);
        }
        if (!policy) {
            co_return std::nullopt;
        }
        if (policy->revision == 0) {
            error.kind = base::error_kind::not_found;
            error.detail = "there is no policy yet";
            co_return std::nullopt;
        }
        const auto summary = summarize(*policy);
        std::optional<policy_reply> reply(std::in_place);
        reply->revision = policy->revision;
        reply->change_id = summary.change_id;
        reply->comment = summary.comment;
        reply->source = source;
        reply->policy = std::move(policy->text);
        co_return encode_reply(request, reply, error);
    }

    // During a store outage, operators can still read the policy in force at this entry instance.
    boost::asio::awaitable<std::optional<stored_policy>> policy_in_force(std::int64_t requested_revision) {
        call_error ignored;
        auto report = co_await query_status(ignored);
        if (!report || report->revision == 0 ||
            (requested_revision != 0 && requested_revision != report->revision)) {
            co_return std::nullopt;
        }
        co_return stored_policy{report->revision, std::move(report->policy_document)};
    }

    awaitable_response list_revisions(const call_request& request, call_error& error) {
        const auto message = decode_request<list_revisions_request>(request, error);
        if (!message) {
            co_return std::nullopt;
        }
        const auto reply = co_await m_editor.list_revisions(error);
        co_return encode_reply(request, reply, error);
    }

    awaitable_response status(const call_request& request, call_error& error) {
        const auto message = decode_request<status_request>(request, error);
        if (!message) {
            co_return std::nullopt;
        }
        const auto report = co_await query_status(error);
        if (!report) {
            co_return std::nullopt;
        }
        const std::optional<status_reply> reply(to_message(*report));
        co_return encode_reply(request, reply, error);
    }

    awaitable_response drain(const call_request& request, call_error& error) {
        return set_drain(request, drain_state::draining, error);
    }

    awaitable_response undrain(const call_request& request, call_error& error) {
        return set_drain(request, drain_state::active, error);
    }

    awaitable_response set_drain(const call_request& request, drain_state target, call_error& error) {
        const auto message = decode_request<drain_request>(request, error);
        if (!message) {
            co_return std::nullopt;
        }
        auto known = co_await known_entries();
        const typename policy_editor<Store>::edit_function change =
            [&message, target, &known](const std::string& document, call_error& edit_error) {
                return with_drain_state(document, *message, target, known, edit_error);
            };
        auto operation = m_editor.edit(change, mode_for(message->dry_run), known, error);
        const auto reply = co_await std::move(operation);
        co_return encode_reply(request, reply, error);
    }

    awaitable_response set_shift_cap(const call_request& request, call_error& error) {
        const auto message = decode_request<set_shift_cap_request>(request, error);
        if (!message) {
            co_return std::nullopt;
        }
        auto known = co_await known_entries();
        const typename policy_editor<Store>::edit_function change = [&message](const std::string& document,
                                                                               call_error& edit_error) {
            return with_shift_cap(document, *message, edit_error);
        };
        auto operation = m_editor.edit(change, mode_for(message->dry_run), std::move(known), error);
        const auto reply = co_await std::move(operation);
        co_return encode_reply(request, reply, error);
    }

    awaitable_response explain(const call_request& request, call_error& error) {
        auto message = decode_request<explain_request>(request, error);
        if (!message) {
            co_return std::nullopt;
        }
        auto query = m_queries.explain(std::move(message->service), std::move(message->client));
        const auto report = co_await std::move(query);
        if (!report || report->error) {
            error.kind = report ? *report->error : base::error_kind::overloaded;
            error.detail = report ? report->detail : "the steering thread does not answer";
            co_return std::nullopt;
        }
        const std::optional<explain_reply> reply(to_message(*report));
        co_return encode_reply(request, reply, error);
    }

    static change_mode mode_for(bool dry_run) { return dry_run ? change_mode::dry_run : change_mode::write; }

    static constexpr std::array<route, 8> routes{{
        {"ApplyPolicy", &call_handler::apply_policy},
        {"GetPolicy", &call_handler::get_policy},
        {"ListRevisions", &call_handler::list_revisions},
        {"Status", &call_handler::status},
        {"Drain", &call_handler::drain},
        {"Undrain", &call_handler::undrain},
        {"SetShiftCap", &call_handler::set_shift_cap},
        {"Explain", &call_handler::explain},
    }};

    policy_editor<Store>& m_editor;
    entry_queries m_queries;
};

} // namespace carawayway::operators

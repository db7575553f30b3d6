// The operators' calls, independent of how they are carried: from a name and a body to status and body.
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
    std::string name; // as in the schema's rpc_service
    std::string body;
    message_encoding body_encoding = message_encoding::json;
    message_encoding response_encoding = message_encoding::json;

    bool operator==(const call_request&) const = default;
};

struct call_response {
    std::uint16_t status = 500;
    std::string content_type;
    std::string body;
    std::optional<base::error_kind> kind; // set: the body is a problem document

    bool operator==(const call_response&) const = default;
};

// How the calls learn what the entry instance knows; nothing when the steering thread does not answer.
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
    // `editor` outlives the handler.
    call_handler(policy_editor<Store>& editor, entry_queries view)
        : m_editor(editor), m_view(std::move(view)) {}

    boost::asio::awaitable<call_response> handle(call_request request) {
        call_error error;
        std::optional<call_response> answer;
        for (const auto& item : routes) {
            if (item.name == request.name) {
                auto operation = (this->*item.run)(request, error);
                answer = co_await std::move(operation);
                co_return answer ? std::move(*answer) : error_response(error);
            }
        }
        error.kind = base::error_kind::not_found;
        error.detail = "no such call";
        co_return error_response(error);
    }

private:
    using awaitable_response = boost::asio::awaitable<std::optional<call_response>>;

    struct route {
        std::string_view name;
        awaitable_response (call_handler::*run)(const call_request&, call_error&);
    };

    template <class Message>
    static std::optional<Message> read(const call_request& request, call_error& error) {
        base::failure failure;
        auto message = decode<Message>(request.body, request.body_encoding, failure);
        if (!message) {
            error.kind = failure.kind;
            error.detail = std::move(failure.detail);
        }
        return message;
    }

    template <class Message>
    static std::optional<call_response> write(const call_request& request,
                                              const std::optional<Message>& message, call_error& error) {
        if (!message) {
            return std::nullopt;
        }
        base::failure failure;
        auto body = encode(*message, request.response_encoding, failure);
        if (!body) {
            // A policy that was stored by other means than these calls.
            error.kind = base::error_kind::internal;
            error.detail = "the answer is not UTF-8; ask for application/octet-stream";
            return std::nullopt;
        }
        const bool json = request.response_encoding == message_encoding::json;
        return call_response{
            200, json ? "application/json" : "application/octet-stream", std::move(*body), {}};
    }

    boost::asio::awaitable<std::optional<engine::status_report>> status_report(call_error& error) {
        auto asked = m_view.status();
        auto report = co_await std::move(asked);
        if (!report) {
            error.kind = base::error_kind::overloaded;
            error.detail = "the steering thread does not answer";
        }
        co_return report;
    }

    // Empty when the steering thread does not answer: changes must be possible then.
    boost::asio::awaitable<entry_names> known_entries() {
        call_error ignored;
        const auto report = co_await status_report(ignored);
        entry_names names;
        if (report) {
            for (const auto& member : report->members) {
                names.push_back(member.name);
            }
        }
        co_return names;
    }

    awaitable_response apply_policy(const call_request& request, call_error& error) {
        auto message = read<apply_policy_request>(request, error);
        if (!message) {
            co_return std::nullopt;
        }
        auto known = co_await known_entries();
        auto operation = m_editor.apply(std::move(*message), std::move(known), error);
        const auto reply = co_await std::move(operation);
        co_return write(request, reply, error);
    }

    awaitable_response get_policy(const call_request& request, call_error& error) {
        const auto message = read<get_policy_request>(request, error);
        if (!message) {
            co_return std::nullopt;
        }
        auto source = policy_source::store;
        auto policy = co_await m_editor.current(error);
        if (message->revision != 0 && policy && policy->revision != message->revision) {
            source = policy_source::history;
            policy = co_await m_editor.kept(message->revision, error);
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
        co_return write(request, reply, error);
    }

    // During an outage of the store the policy in force here still tells the operator what holds.
    boost::asio::awaitable<std::optional<stored_policy>> policy_in_force(std::int64_t wanted) {
        call_error ignored;
        auto report = co_await status_report(ignored);
        if (!report || report->revision == 0 || (wanted != 0 && wanted != report->revision)) {
            co_return std::nullopt;
        }
        co_return stored_policy{report->revision, std::move(report->policy_document)};
    }

    awaitable_response list_revisions(const call_request& request, call_error& error) {
        const auto message = read<list_revisions_request>(request, error);
        if (!message) {
            co_return std::nullopt;
        }
        const auto reply = co_await m_editor.revisions(error);
        co_return write(request, reply, error);
    }

    awaitable_response status(const call_request& request, call_error& error) {
        const auto message = read<status_request>(request, error);
        if (!message) {
            co_return std::nullopt;
        }
        const auto report = co_await status_report(error);
        if (!report) {
            co_return std::nullopt;
        }
        const std::optional<status_reply> reply(to_message(*report));
        co_return write(request, reply, error);
    }

    awaitable_response drain(const call_request& request, call_error& error) {
        return set_drain(request, drain_target::draining, error);
    }

    awaitable_response undrain(const call_request& request, call_error& error) {
        return set_drain(request, drain_target::active, error);
    }

    awaitable_response set_drain(const call_request& request, drain_target target, call_error& error) {
        const auto message = read<drain_request>(request, error);
        if (!message) {
            co_return std::nullopt;
        }
        auto known = co_await known_entries();
        const typename policy_editor<Store>::edit_function change =
            [&message, target, &known](const std::string& document, call_error& reason) {
                return drained(document, *message, target, known, reason);
            };
        auto operation = m_editor.edit(change, mode_of(message->dry_run), known, error);
        const auto reply = co_await std::move(operation);
        co_return write(request, reply, error);
    }

    awaitable_response set_shift_cap(const call_request& request, call_error& error) {
        const auto message = read<set_shift_cap_request>(request, error);
        if (!message) {
            co_return std::nullopt;
        }
        auto known = co_await known_entries();
        const typename policy_editor<Store>::edit_function change = [&message](const std::string& document,
                                                                               call_error& reason) {
            return with_shift_cap(document, *message, reason);
        };
        auto operation = m_editor.edit(change, mode_of(message->dry_run), std::move(known), error);
        const auto reply = co_await std::move(operation);
        co_return write(request, reply, error);
    }

    awaitable_response explain(const call_request& request, call_error& error) {
        auto message = read<explain_request>(request, error);
        if (!message) {
            co_return std::nullopt;
        }
        auto asked = m_view.explain(std::move(message->service), std::move(message->client));
        const auto report = co_await std::move(asked);
        if (!report || report->error) {
            error.kind = report ? *report->error : base::error_kind::overloaded;
            error.detail = report ? report->detail : "the steering thread does not answer";
            co_return std::nullopt;
        }
        const std::optional<explain_reply> reply(to_message(*report));
        co_return write(request, reply, error);
    }

    static run_mode mode_of(bool dry_run) { return dry_run ? run_mode::dry_run : run_mode::write; }

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
    entry_queries m_view;
};

} // namespace carawayway::operators

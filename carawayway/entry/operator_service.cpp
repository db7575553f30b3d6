// Routes HTTP requests to the call handler and the steering thread.
#include "carawayway/entry/operator_service.hpp"

#include "carawayway/entry/http_listener.hpp"
#include "carawayway/operators/bearer_token.hpp"
#include "carawayway/operators/call_handler.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>

#include <chrono>
#include <unordered_map>
#include <utility>

namespace carawayway::entry {

namespace asio = boost::asio;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
constexpr auto reply_timeout = std::chrono::seconds(2); // for a reply of the steering thread
constexpr std::uint32_t maximum_body_bytes = 1U << 20U;
constexpr std::string_view call_path_prefix = "/v1/";
constexpr std::string_view json_type = "application/json";
constexpr std::string_view binary_type = "application/octet-stream";

std::string_view header_value(const http_request& request, boost::beast::http::field name) {
    const auto value = request[name];
    return {value.data(), value.size()};
}

// Returns the media type without parameters such as the character set.
std::string_view media_type(std::string_view field) {
    field = field.substr(0, field.find(';'));
    const auto last = field.find_last_not_of(' ');
    return field.substr(0, last == std::string_view::npos ? 0 : last + 1);
}

std::int64_t wall_clock_milliseconds() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

http_response to_response(const operators::call_response& answer, unsigned version) {
    auto response = json_response(answer.status, answer.body, version);
    response.set(boost::beast::http::field::content_type, answer.content_type);
    if (answer.kind == base::error_kind::unauthorized) {
        response.set(boost::beast::http::field::www_authenticate, "Bearer");
    }
    if (answer.kind) {
        response.set("X-Execution", base::to_string(base::answer_for(*answer.kind).execution));
    }
    return response;
}

http_response error_response(base::error_kind kind, std::string detail, unsigned version) {
    return to_response(operators::error_response({kind, std::move(detail), {}, {}}), version);
}

} // namespace

class operator_service::implementation {
public:
    implementation(asio::io_context& context, store::etcd_json_store& store,
                   const config::instance_settings& settings, const std::string& token,
                   submit_function submit)
        : m_context(context), m_submit(std::move(submit)), m_operator_token(token),
          m_policy_editor(context.get_executor(), store, settings.policy_key, wall_clock_milliseconds),
          m_call_handler(m_policy_editor, make_entry_view()),
          m_listener(std::make_shared<http_listener>(
              context,
              listener_limits{settings.caller_connections, settings.header_limit, maximum_body_bytes,
                              settings.idle_timeout},
              [this](http_exchange& exchange) { return handle(exchange); })) {}

    bool listen(const config::socket_address& address, base::failure& last_failure) {
        try {
            m_address = m_listener->listen(address);
        } catch (const boost::system::system_error& error) {
            last_failure = {base::error_kind::settings_invalid,
                            "cannot listen on operator_address: " + error.code().message()};
            return false;
        }
        return true;
    }

    config::socket_address address() const { return m_address; }

    void deliver(control_reply reply) {
        const auto token = token_of(reply);
        const auto found = m_pending.find(token);
        if (found != m_pending.end()) {
            found->second->reply = std::move(reply);
            found->second->reply_timer.cancel();
        }
    }

private:
    struct pending_reply {
        explicit pending_reply(const asio::any_io_executor& executor)
            : reply_timer(executor, reply_timeout) {}
        asio::steady_timer reply_timer;
        std::optional<control_reply> reply;
    };

    static std::uint64_t token_of(const control_reply& reply) {
        if (const auto* status = std::get_if<status_ready>(&reply)) {
            return status->token;
        }
        if (const auto* explained = std::get_if<explain_ready>(&reply)) {
            return explained->token;
        }
        const auto* metrics = std::get_if<metrics_ready>(&reply);
        return metrics == nullptr ? 0 : metrics->token;
    }

    // Submits an `Event` and waits for its reply; returns no value after reply_timeout. The token is the
    // first member of `Event`, followed by the arguments.
    template <class Event, class... Arguments>
    asio::awaitable<std::optional<control_reply>> submit_and_wait(Arguments... arguments) {
        const std::uint64_t token = ++m_last_token;
        const auto pending = std::make_shared<pending_reply>(m_context.get_executor());
        m_pending.emplace(token, pending);
        m_submit(Event{token, std::move(arguments)...});
        co_await pending->reply_timer.async_wait(use_tuple);
        m_pending.erase(token);
        co_return std::move(pending->reply);
    }

    asio::awaitable<std::optional<engine::status_report>> request_status() {
        auto reply = co_await submit_and_wait<status_requested>();
        if (!reply) {
            co_return std::nullopt;
        }
        co_return std::move(std::get<status_ready>(*reply).report);
    }

    asio::awaitable<std::optional<engine::explain_report>> request_explanation(std::string service,
                                                                               std::string client) {
        auto operation = submit_and_wait<explain_requested>(std::move(service), std::move(client));
        auto reply = co_await std::move(operation);
        if (!reply) {
            co_return std::nullopt;
        }
        co_return std::move(std::get<explain_ready>(*reply).report);
    }

    operators::entry_queries make_entry_view() {
        return {[this] { return request_status(); },
                [this](std::string service, std::string client) {
                    return request_explanation(std::move(service), std::move(client));
                }};
    }

    asio::awaitable<std::optional<http_response>> handle(http_exchange& exchange) {
        const auto target = exchange.request.target();
        const unsigned version = exchange.request.version();
        if (target == "/health") {
            co_return json_response(200, "{\"status\":\"alive\"}\n", version);
        }
        if (target == "/ready") {
            co_return co_await readiness(version);
        }
        if (target == "/metrics") {
            co_return co_await metrics_text(version);
        }
        if (target.starts_with(call_path_prefix)) {
            co_return co_await handle_call(exchange.request);
        }
        co_return error_response(base::error_kind::not_found, "unknown path", version);
    }

    asio::awaitable<http_response> readiness(unsigned version) {
        const auto report = co_await request_status();
        if (report && !report->not_ready_reason) {
            co_return json_response(200, "{\"status\":\"ready\"}\n", version);
        }
        co_return error_response(base::error_kind::not_ready,
                                 report ? *report->not_ready_reason : "the steering thread does not answer",
                                 version);
    }

    asio::awaitable<http_response> metrics_text(unsigned version) {
        auto reply = co_await submit_and_wait<metrics_requested>();
        if (!reply) {
            co_return error_response(base::error_kind::overloaded, "the steering thread does not answer",
                                     version);
        }
        auto response = json_response(200, std::get<metrics_ready>(*reply).text, version);
        response.set(boost::beast::http::field::content_type, "text/plain; version=0.0.4");
        co_return response;
    }

    asio::awaitable<http_response> handle_call(const http_request& request) {
        using boost::beast::http::field;
        const unsigned version = request.version();
        if (!m_operator_token.accepts(header_value(request, field::authorization))) {
            co_return error_response(
                base::error_kind::unauthorized,
                "calls require the header \"Authorization: Bearer TOKEN\" with the operator token", version);
        }
        if (request.method() != boost::beast::http::verb::post) {
            co_return error_response(base::error_kind::request_invalid, "calls require the method POST",
                                     version);
        }
        const auto type = media_type(header_value(request, field::content_type));
        const bool binary = boost::beast::iequals(type, binary_type);
        if (!binary && !type.empty() && !boost::beast::iequals(type, json_type)) {
            co_return error_response(base::error_kind::request_invalid,
                                     "Content-Type must be application/json or application/octet-stream",
                                     version);
        }
        using operators::message_encoding;
        operators::call_request call;
        call.name = std::string(request.target().substr(call_path_prefix.size()));
        call.body = request.body();
        call.body_encoding = binary ? message_encoding::binary : message_encoding::json;
        const auto accepted = media_type(header_value(request, field::accept));
        call.response_encoding =
            boost::beast::iequals(accepted, binary_type) ? message_encoding::binary : message_encoding::json;
        auto operation = m_call_handler.handle(std::move(call));
        const auto answer = co_await std::move(operation);
        co_return to_response(answer, version);
    }

    asio::io_context& m_context;
    submit_function m_submit;
    operators::bearer_token m_operator_token;
    operators::policy_editor<store::etcd_json_store> m_policy_editor;
    operators::call_handler<store::etcd_json_store> m_call_handler;
    config::socket_address m_address;
    std::uint64_t m_last_token = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<pending_reply>> m_pending;
    std::shared_ptr<http_listener> m_listener;
};

operator_service::operator_service(asio::io_context& context, store::etcd_json_store& store,
                                   const config::instance_settings& settings, const std::string& token,
                                   submit_function submit)
    : m_implementation(std::make_shared<implementation>(context, store, settings, token, std::move(submit))) {
}

operator_service::~operator_service() = default;

bool operator_service::listen(const config::socket_address& address, base::failure& last_failure) {
    return m_implementation->listen(address, last_failure);
}

config::socket_address operator_service::listening_address() const {
    return m_implementation->address();
}

void operator_service::deliver(control_reply reply) {
    m_implementation->deliver(std::move(reply));
}

} // namespace carawayway::entry

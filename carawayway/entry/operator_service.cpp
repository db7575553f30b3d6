// Routes of the operators' listener.
#include "carawayway/entry/operator_service.hpp"

#include "carawayway/entry/http_listener.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <unordered_map>
#include <utility>

namespace carawayway::entry {

namespace asio = boost::asio;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
constexpr auto reply_timeout = std::chrono::seconds(2); // for the steering thread to answer

} // namespace

class operator_service::implementation {
public:
    implementation(asio::io_context& context, const config::instance_settings& settings,
                   submit_function submit)
        : m_context(context), m_submit(std::move(submit)),
          m_listener(std::make_shared<http_listener>(
              context,
              listener_limits{settings.caller_connections, settings.header_limit, settings.body_limit,
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
            found->second->arrived.cancel();
        }
    }

private:
    struct pending_reply {
        explicit pending_reply(const asio::any_io_executor& executor) : arrived(executor, reply_timeout) {}
        asio::steady_timer arrived;
        std::optional<control_reply> reply;
    };

    static std::uint64_t token_of(const control_reply& reply) {
        if (const auto* status = std::get_if<status_ready>(&reply)) {
            return status->token;
        }
        const auto* metrics = std::get_if<metrics_ready>(&reply);
        return metrics == nullptr ? 0 : metrics->token;
    }

    template <class Event>
    asio::awaitable<std::optional<control_reply>> ask() {
        const std::uint64_t token = ++m_last_token;
        const auto pending = std::make_shared<pending_reply>(m_context.get_executor());
        m_pending.emplace(token, pending);
        m_submit(Event{token});
        co_await pending->arrived.async_wait(use_tuple);
        m_pending.erase(token);
        co_return std::move(pending->reply);
    }

    asio::awaitable<std::optional<http_response>> handle(http_exchange& exchange) {
        const unsigned version = exchange.request.version();
        if (exchange.request.target() == "/health") {
            co_return json_response(200, "{\"status\":\"alive\"}\n", version);
        }
        if (exchange.request.target() == "/metrics") {
            auto reply = co_await ask<metrics_asked>();
            if (!reply) {
                co_return to_response(
                    engine::make_refusal(base::error_kind::overloaded, "the steering thread does not answer"),
                    version);
            }
            auto response = json_response(200, std::get<metrics_ready>(*reply).text, version);
            response.set(boost::beast::http::field::content_type, "text/plain; version=0.0.4");
            co_return response;
        }
        co_return to_response(engine::make_refusal(base::error_kind::not_found, "no such operation"),
                              version);
    }

    asio::io_context& m_context;
    submit_function m_submit;
    config::socket_address m_address;
    std::uint64_t m_last_token = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<pending_reply>> m_pending;
    std::shared_ptr<http_listener> m_listener;
};

operator_service::operator_service(asio::io_context& context, platform::etcd_json_store&,
                                   const config::instance_settings& settings, std::string,
                                   submit_function submit)
    : m_implementation(std::make_shared<implementation>(context, settings, std::move(submit))) {}

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

// HTTP server for control messages.
#include "stand_ins/support/control_listener.hpp"

#include "stand_ins/support/address.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <exception>
#include <utility>

namespace stand_ins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

std::string run_control(const control_handler& handler, std::string_view body) {
    boost::json::object reply;
    try {
        const auto value = boost::json::parse({body.data(), body.size()});
        reply = handler(value.as_object());
        reply["ok"] = true;
    } catch (const std::exception& error) {
        reply = {{"ok", false}, {"error", error.what()}};
    }
    return boost::json::serialize(reply);
}

struct control_listener::state : std::enable_shared_from_this<state> {
    state(tcp::acceptor open_acceptor, control_handler command_handler)
        : acceptor(std::move(open_acceptor)), handler(std::move(command_handler)) {}

    static asio::awaitable<void> serve(std::shared_ptr<state> self, tcp::socket socket) {
        boost::beast::flat_buffer buffer;
        boost::system::error_code error;
        while (self->handler) {
            http::request<http::string_body> request;
            co_await http::async_read(socket, buffer, request,
                                      asio::redirect_error(asio::use_awaitable, error));
            if (error || !self->handler) {
                co_return;
            }
            http::response<http::string_body> response(http::status::ok, request.version());
            response.set(http::field::content_type, "application/json");
            response.keep_alive(request.keep_alive());
            if (request.target() == "/control" && request.method() == http::verb::post) {
                response.body() = run_control(self->handler, request.body());
            } else {
                response.result(http::status::not_found);
            }
            response.prepare_payload();
            co_await http::async_write(socket, response, asio::redirect_error(asio::use_awaitable, error));
            if (error || !request.keep_alive()) {
                co_return;
            }
        }
    }

    static asio::awaitable<void> accept(std::shared_ptr<state> self) {
        while (true) {
            boost::system::error_code error;
            tcp::socket socket =
                co_await self->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (!self->handler) {
                co_return;
            }
            if (!error) {
                asio::co_spawn(self->acceptor.get_executor(), serve(self, std::move(socket)), asio::detached);
            }
        }
    }

    tcp::acceptor acceptor;
    control_handler handler; // empty once the listener is destroyed, which ends the coroutines
};

control_listener::control_listener(const asio::any_io_executor& executor, const tcp::endpoint& endpoint,
                                   control_handler handler)
    : m_state(std::make_shared<state>(open_listener(executor, endpoint), std::move(handler))) {
    asio::co_spawn(executor, state::accept(m_state), asio::detached);
}

control_listener::~control_listener() {
    m_state->handler = nullptr;
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
}

tcp::endpoint control_listener::endpoint() const {
    return m_state->acceptor.local_endpoint();
}

} // namespace stand_ins

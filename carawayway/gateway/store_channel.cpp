// Sends HTTP calls to the store.
#include "carawayway/gateway/store_channel.hpp"

#include "carawayway/net/response_parser.hpp"
#include "carawayway/net/socket_options.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace carawayway::gateway {

namespace {

namespace http = boost::beast::http;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

// A listing holds up to about 1 MB of items, plus the overhead of base64 and field names.
constexpr std::uint64_t maximum_response_bytes = 8U << 20U;

http::verb http_verb_of(const fleet::store_call& call) {
    switch (call.verb) {
    case fleet::store_call::method::read:
        return http::verb::get;
    case fleet::store_call::method::write:
        return http::verb::post;
    case fleet::store_call::method::remove:
        return http::verb::delete_;
    }
    return http::verb::get;
}

} // namespace

store_channel::store_channel(const boost::asio::any_io_executor& executor,
                             boost::asio::ip::tcp::endpoint address)
    : m_address(std::move(address)), m_stream(executor) {}

boost::asio::awaitable<bool> store_channel::connect() {
    m_stream.close();
    m_buffer.clear();
    boost::system::error_code error;
    co_await m_stream.async_connect(m_address, redirect_error(use_awaitable, error));
    if (error) {
        co_return false;
    }
    net::set_backend_options(m_stream.socket());
    m_open = true;
    co_return true;
}

boost::asio::awaitable<std::optional<store_response>> store_channel::call(fleet::store_call call,
                                                                          base::duration timeout) {
    m_stream.expires_after(std::chrono::duration_cast<std::chrono::milliseconds>(timeout));
    if (!m_open) {
        const bool connected = co_await connect();
        if (!connected) {
            close();
            co_return std::nullopt;
        }
    }
    http::request<http::string_body> request{http_verb_of(call), call.target, 11};
    request.set(http::field::host, m_address.address().to_string());
    if (!call.body.empty()) {
        request.set(http::field::content_type, "application/json");
        request.body() = std::move(call.body);
    }
    request.prepare_payload();
    boost::system::error_code error;
    co_await http::async_write(m_stream, request, redirect_error(use_awaitable, error));
    net::response_parser<http::string_body> parser;
    net::chunk_extension_limit extension_limit(parser);
    parser.body_limit(maximum_response_bytes);
    if (!error) {
        co_await http::async_read(m_stream, m_buffer, parser, redirect_error(use_awaitable, error));
    }
    if (error == http::error::body_limit) {
        close();
        co_return store_response{parser.get().result_int(), {}, parser.release().base(), true};
    }
    if (error) {
        close();
        co_return std::nullopt;
    }
    m_stream.expires_never();
    auto response = parser.release();
    if (!response.keep_alive()) {
        close();
    }
    co_return store_response{response.result_int(), std::move(response.body()), std::move(response.base()),
                             false};
}

void store_channel::interrupt() {
    close();
}

void store_channel::close() {
    m_open = false;
    m_stream.close();
}

} // namespace carawayway::gateway

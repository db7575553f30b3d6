// Runs each call on its own event loop with asynchronous operations, so that a timeout covers the whole call.
#include "carawayway/cli/http_call.hpp"

#include "carawayway/net/connection_end.hpp"
#include "carawayway/net/endpoint.hpp"
#include "carawayway/net/message_limits.hpp"
#include "carawayway/net/response_parser.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <charconv>

namespace carawayway::cli {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t maximum_reply_bytes = 64ULL << 20U;

struct call_result {
    call_failure failure = call_failure::none;
    std::string reason;
    std::optional<http_reply> reply;

    void fail(call_failure kind, std::string text) {
        failure = kind;
        reason = std::move(text);
    }
};

http::request<http::string_body> to_http_request(const http_call& call) {
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(call.method);
    request.target(call.target);
    request.set(http::field::host, call.address);
    for (const auto& [name, value] : call.headers) {
        request.set(name, value);
    }
    request.body() = call.body;
    request.keep_alive(false);
    request.prepare_payload();
    return request;
}

void copy_reply(const http::response<http::string_body>& response, call_result& result) {
    http_reply reply;
    reply.status = response.result_int();
    for (const auto& field : response) {
        reply.headers.emplace_back(std::string(field.name_string().data(), field.name_string().size()),
                                   std::string(field.value().data(), field.value().size()));
    }
    reply.body = response.body();
    result.reply = std::move(reply);
}

asio::awaitable<void> run(asio::io_context& context, const http_call& call, tcp::endpoint endpoint,
                          call_result& result) {
    beast::tcp_stream stream(context);
    stream.expires_after(std::chrono::duration_cast<std::chrono::milliseconds>(call.timeout));
    if (!call.source_address.empty()) {
        boost::system::error_code error;
        const auto source = asio::ip::make_address(call.source_address, error);
        if (!error) {
            stream.socket().open(endpoint.protocol(), error);
            stream.socket().bind(tcp::endpoint(source, 0), error);
        }
        if (error) {
            result.fail(call_failure::bad_address, "cannot bind to source address " + call.source_address);
            co_return;
        }
    }
    auto [connect_error] = co_await stream.async_connect(endpoint, use_tuple);
    if (connect_error) {
        result.fail(call_failure::not_sent,
                    "cannot connect to " + call.address + ": " + connect_error.message());
        co_return;
    }
    const auto request = to_http_request(call);
    auto [write_error, written] = co_await http::async_write(stream, request, use_tuple);
    beast::flat_buffer buffer(net::maximum_read_buffer_bytes);
    net::response_parser<http::string_body> parser;
    net::chunk_extension_limit extension_limit(parser);
    parser.body_limit(maximum_reply_bytes);
    parser.skip(call.method == "HEAD");
    // Reads even when writing failed: the server may have refused the request before it read the body.
    auto [read_error, received] = co_await http::async_read(stream, buffer, parser, use_tuple);
    if (!read_error && parser.need_eof() && !net::is_end_by_peer(write_error)) {
        read_error = write_error;
    }
    if (read_error) {
        result.fail(call_failure::outcome_unknown,
                    "no complete reply from " + call.address + ": " + read_error.message());
        co_return;
    }
    copy_reply(parser.get(), result);
}

} // namespace

std::string http_reply::header(std::string_view name) const {
    for (const auto& [key, value] : headers) {
        if (beast::iequals(key, beast::string_view(name.data(), name.size()))) {
            return value;
        }
    }
    return {};
}

std::optional<http_reply> perform(const http_call& call, call_failure& failure, std::string& reason) {
    call_result result;
    const auto endpoint = net::parse_endpoint(call.address);
    if (!endpoint) {
        failure = call_failure::bad_address;
        reason = "expected IP:port, got \"" + call.address + "\"";
        return std::nullopt;
    }
    asio::io_context context(1);
    asio::co_spawn(context, run(context, call, *endpoint, result), asio::detached);
    context.run();
    failure = result.failure;
    reason = result.reason;
    return result.reply;
}

} // namespace carawayway::cli

// HTTP/1.1 server of the stand-ins, on the event loop of the run.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace review {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

// The link of a machine: what is sent over it at once shares its speed.
struct link {
    double bytes_per_second = 0.0;
    std::chrono::steady_clock::time_point free_at; // when all that was sent so far is through
};

// What a handler wants done with the connection of a request.
struct reply {
    std::optional<http_response> response; // none: nothing is answered
    std::string raw_bytes;                 // written instead of a response
    std::string endless_part;              // written behind it again and again, until the caller closes
    std::shared_ptr<link> over;            // by which the endless parts go
};

using http_handler = std::function<boost::asio::awaitable<reply>(http_request)>;

// Listens on a free port of 127.0.0.1 and returns HOST:PORT.
std::string serve(boost::asio::io_context& context, http_handler handler);

http_response make_response(unsigned status, std::string body = {});

// Suspends the coroutine.
boost::asio::awaitable<void> sleep_for(std::chrono::milliseconds length);

} // namespace review

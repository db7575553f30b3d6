// Writes requests on one thread and reads responses on another one.
#include "Tests/gateway_processes/pipelining_caller.hpp"

#include "stand_ins/support/address.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <atomic>
#include <set>
#include <thread>

namespace carawayway::gateway_processes {

namespace http = boost::beast::http;

namespace {

// Returns the IDs of the requests that were written.
std::vector<std::string> send_requests(gateway_fleet& fleet, std::size_t gateway,
                                       boost::asio::ip::tcp::socket& socket, const std::atomic<bool>& closed,
                                       std::chrono::milliseconds interval, const std::string& path,
                                       const std::function<bool()>& is_last) {
    std::vector<std::string> sent;
    boost::system::error_code error;
    bool was_last = false;
    while (!closed && !error && !was_last) {
        const auto object = std::to_string(sent.size());
        auto request = fleet.make_request(gateway, "GET", path + object, object);
        was_last = is_last();
        request.keep_alive(!was_last);
        sent.emplace_back(request["Request-Id"]);
        http::write(socket, request, error);
        std::this_thread::sleep_for(interval);
    }
    return sent;
}

} // namespace

pipelined_requests send_until_closed(gateway_fleet& fleet, std::size_t gateway,
                                     std::chrono::milliseconds interval, const std::string& path,
                                     const std::function<bool()>& is_last) {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect(stand_ins::parse_address(fleet.caller_address(gateway)).value(), error);
    std::atomic<bool> closed = static_cast<bool>(error);
    std::vector<std::string> sent;
    std::thread sender(
        [&] { sent = send_requests(fleet, gateway, socket, closed, interval, path, is_last); });
    pipelined_requests result;
    std::set<std::string> answered;
    boost::beast::flat_buffer buffer;
    while (!closed) {
        http::response<http::string_body> response;
        http::read(socket, buffer, response, error);
        if (!error) {
            answered.emplace(response["Request-Id"]);
            result.was_close_announced = !response.keep_alive();
        }
        closed = error || result.was_close_announced;
    }
    sender.join();
    result.answered = answered.size();
    for (const auto& id : sent) {
        if (!answered.contains(id)) {
            result.unanswered.push_back(id);
        }
    }
    return result;
}

} // namespace carawayway::gateway_processes

// Sends requests and reads their answers.
#include "review/stand_ins/caller.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <random>

namespace review {

namespace {

using boost::asio::redirect_error;
using boost::asio::use_awaitable;

std::string new_request_id() {
    static std::mt19937_64 random{std::random_device{}()};
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(random()));
    return text.data();
}

} // namespace

caller::caller(boost::asio::io_context& context, record& log, request_ends& ends, std::string gateway,
               unsigned short port)
    : m_log(log), m_ends(ends), m_gateway(std::move(gateway)),
      m_address(boost::asio::ip::address_v4::loopback(), port), m_socket(context) {}

void caller::close() {
    boost::system::error_code ignored; // the socket is discarded in any case
    m_socket.close(ignored);
    m_answers = 0;
}

boost::asio::awaitable<bool> caller::connect() {
    close();
    boost::system::error_code error;
    co_await m_socket.async_connect(m_address, redirect_error(use_awaitable, error));
    if (error) {
        close();
        co_return false;
    }
    m_socket.set_option(tcp::no_delay(true), error);
    co_return true;
}

boost::asio::awaitable<unsigned> caller::send(call what) {
    const auto id = new_request_id();
    auto& end = m_ends[id];
    end.gateway = m_gateway;
    end.method = what.method;
    end.sent_at = clock::now();
    const bool is_open = m_socket.is_open() || co_await connect();
    if (!is_open) {
        end.was_connected = false;
        end.ended_at = clock::now();
        co_return 0;
    }
    end.is_on_kept_connection = m_answers > 0;
    http_request request{http::string_to_verb(what.method), what.target, 11};
    request.set(http::field::host, what.host);
    request.set("Request-Id", id);
    request.set("Deadline-Ms", std::to_string(what.deadline_ms));
    if (!what.object.empty()) {
        request.set(http::field::cookie, "Affinity-Key=" + what.object);
    }
    request.body() = std::move(what.body);
    request.prepare_payload();
    boost::system::error_code error;
    co_await http::async_write(m_socket, request, redirect_error(use_awaitable, error));
    http_response response;
    if (!error) {
        boost::beast::flat_buffer buffer;
        co_await http::async_read(m_socket, buffer, response, redirect_error(use_awaitable, error));
    }
    end.ended_at = clock::now();
    if (error) {
        m_log.line("caller: " + id + " " + what.method + " " + what.target + " by " + m_gateway +
                   " ends without an answer (" + error.message() + ")");
        close();
        co_return 0;
    }
    end.status = response.result_int();
    end.is_own_answer = end.status != 200 ||
                        (response["Response-Stamp"] == "stamp-" + id && response.body() == "answer to " + id);
    ++m_answers;
    if (!response.keep_alive()) {
        close();
    }
    co_return end.status;
}

} // namespace review

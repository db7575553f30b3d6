// Reads the head of each request and writes the answer, without reading the body.
#include "Tests/support/raw_server.hpp"

#include "stand_ins/support/address.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace carawayway::test_support {

using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;

namespace {

constexpr std::string_view end_of_head = "\r\n\r\n";

} // namespace

raw_server::raw_server(answer_function answer, connection_end end)
    : m_answer(std::move(answer)), m_end(end),
      m_acceptor(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    boost::asio::co_spawn(m_context, accept_connections(), boost::asio::detached);
    m_thread = std::thread([this] { m_context.run(); });
}

raw_server::~raw_server() {
    m_context.stop();
    m_thread.join();
}

std::string raw_server::address() const {
    return stand_ins::to_address(m_acceptor.local_endpoint());
}

std::string raw_server::header(const std::string& head, const std::string& name) {
    const auto begin = head.find("\r\n" + name + ": ");
    if (begin == std::string::npos) {
        return {};
    }
    const auto value = begin + name.size() + std::string_view("\r\n: ").size();
    return head.substr(value, head.find("\r\n", value) - value);
}

boost::asio::awaitable<void> raw_server::accept_connections() {
    boost::system::error_code error;
    while (!error) {
        auto socket = co_await m_acceptor.async_accept(redirect_error(use_awaitable, error));
        if (!error) {
            boost::asio::co_spawn(m_context,
                                  serve_connection(std::make_shared<tcp::socket>(std::move(socket))),
                                  boost::asio::detached);
        }
    }
}

boost::asio::awaitable<void> raw_server::serve_connection(std::shared_ptr<tcp::socket> socket) {
    boost::system::error_code error;
    std::string head;
    co_await boost::asio::async_read_until(*socket, boost::asio::dynamic_buffer(head), end_of_head,
                                           redirect_error(use_awaitable, error));
    if (error) {
        co_return;
    }
    const auto answer = m_answer(head.substr(0, head.find(end_of_head) + end_of_head.size()));
    co_await boost::asio::async_write(*socket, boost::asio::buffer(answer),
                                      redirect_error(use_awaitable, error));
    if (m_end == connection_end::reset) {
        stand_ins::reset_connection(*socket);
        co_return;
    }
    std::array<char, 4096> rest{};
    while (!error) {
        co_await socket->async_read_some(boost::asio::buffer(rest), redirect_error(use_awaitable, error));
    }
}

} // namespace carawayway::test_support

// Framed questions and answers between gateways.
#include "carawayway/gateway/store_replication.hpp"

#include "carawayway/base/log.hpp"
#include "carawayway/net/socket_options.hpp"
#include "carawayway/wire/frame_reader.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <algorithm>
#include <array>

namespace carawayway::gateway {

namespace {

using boost::asio::redirect_error;
using boost::asio::use_awaitable;

// A whole listing: the store's items are below 1 MB a page, and a deployment has few pages.
constexpr std::size_t frame_limit = 8U << 20U; // bytes

constexpr base::duration serve_timeout = std::chrono::seconds{2};
constexpr base::duration accept_pause = std::chrono::milliseconds{50};

boost::asio::awaitable<std::optional<std::string>> read_frame(boost::beast::tcp_stream& stream) {
    std::array<unsigned char, wire::frame_prefix_size> prefix{};
    boost::system::error_code error;
    co_await boost::asio::async_read(stream, boost::asio::buffer(prefix),
                                     redirect_error(use_awaitable, error));
    std::size_t size = 0;
    for (std::size_t index = 0; index < prefix.size(); ++index) {
        size |= std::size_t{prefix.at(index)} << (8U * index);
    }
    if (error || size > frame_limit) {
        co_return std::nullopt;
    }
    std::string payload(size, '\0');
    co_await boost::asio::async_read(stream, boost::asio::buffer(payload),
                                     redirect_error(use_awaitable, error));
    co_return error ? std::nullopt : std::optional(std::move(payload));
}

boost::asio::awaitable<bool> write_frame(boost::beast::tcp_stream& stream, const std::string& payload) {
    const auto prefix = wire::frame_prefix(static_cast<std::uint32_t>(payload.size()));
    const std::array buffers{boost::asio::buffer(prefix), boost::asio::buffer(payload)};
    boost::system::error_code error;
    co_await boost::asio::async_write(stream, buffers, redirect_error(use_awaitable, error));
    co_return !error;
}

std::span<const std::byte> bytes_of(const std::string& text) {
    return std::as_bytes(std::span(text));
}

std::chrono::milliseconds whole_milliseconds(base::duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value);
}

} // namespace

fact_relay_server::fact_relay_server(const boost::asio::any_io_executor& executor,
                                     const boost::asio::ip::tcp::endpoint& address,
                                     const fleet::store_replica& facts, view_function view)
    : m_acceptor(std::make_shared<boost::asio::ip::tcp::acceptor>(executor, address)), m_facts(facts),
      m_view(std::move(view)) {
    boost::asio::co_spawn(executor, accept(), boost::asio::detached);
}

void fact_relay_server::close() {
    boost::system::error_code ignored; // the listener is given up in any case
    m_acceptor->close(ignored);
}

boost::asio::awaitable<void> fact_relay_server::accept() {
    const auto acceptor = m_acceptor;
    while (acceptor->is_open()) {
        boost::system::error_code error;
        auto socket = co_await acceptor->async_accept(redirect_error(use_awaitable, error));
        if (!error) {
            boost::asio::co_spawn(acceptor->get_executor(), serve(std::move(socket)), boost::asio::detached);
        } else if (acceptor->is_open()) {
            boost::asio::steady_timer pause(acceptor->get_executor(), accept_pause);
            co_await pause.async_wait(redirect_error(use_awaitable, error));
        }
    }
}

void fact_relay_server::notify() {
    for (auto* const timer : m_held) {
        timer->cancel();
    }
}

boost::asio::awaitable<void> fact_relay_server::hold(const fleet::replication_request& request) {
    boost::asio::steady_timer timer(m_acceptor->get_executor());
    timer.expires_after(std::min<base::duration>(request.wait, longest_wait));
    m_held.insert(&timer);
    boost::system::error_code answered_early;
    co_await timer.async_wait(redirect_error(use_awaitable, answered_early));
    m_held.erase(&timer);
}

boost::asio::awaitable<void> fact_relay_server::serve(boost::asio::ip::tcp::socket socket) {
    boost::beast::tcp_stream stream(std::move(socket));
    stream.expires_after(whole_milliseconds(serve_timeout));
    const auto payload = co_await read_frame(stream);
    const auto request = payload ? fleet::decode_request(bytes_of(*payload)) : std::nullopt;
    if (!request) {
        base::log(base::log_level::warning, "relay-request-invalid");
        co_return;
    }
    const bool has_news = m_facts.revision() > request->revision;
    if (request->wait.count() > 0 && !has_news && m_view().watches_store) {
        co_await hold(*request);
    }
    stream.expires_after(whole_milliseconds(serve_timeout));
    const auto changes = m_facts.changes_after(request->revision);
    const auto view = m_view();
    const fleet::replication_reply reply{m_facts.revision(), !changes.has_value(),
                                         changes ? *changes : m_facts.all(), view.watches_store,
                                         whole_milliseconds(view.undisturbed)};
    co_await write_frame(stream, fleet::encode(reply));
}

boost::asio::awaitable<std::optional<fleet::replication_reply>>
ask_for_facts(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint address,
              fleet::replication_request request, base::duration timeout) {
    boost::beast::tcp_stream stream(executor);
    stream.expires_after(whole_milliseconds(timeout));
    boost::system::error_code error;
    co_await stream.async_connect(address, redirect_error(use_awaitable, error));
    if (error) {
        co_return std::nullopt;
    }
    const bool written = co_await write_frame(stream, fleet::encode(request));
    if (!written) {
        co_return std::nullopt;
    }
    const auto payload = co_await read_frame(stream);
    co_return payload ? fleet::decode_reply(bytes_of(*payload)) : std::nullopt;
}

} // namespace carawayway::gateway

// Framed requests and replies between gateways.
#include "carawayway/gateway/store_replication.hpp"

#include "carawayway/base/log.hpp"
#include "carawayway/net/listening_socket.hpp"
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

// Holds a full listing: a page of the store's items has less than 1 MB, and a deployment has few pages.
constexpr std::size_t maximum_reply_bytes = 8U << 20U;
constexpr std::size_t maximum_request_bytes = 1U << 10U;
// Requests that are served at once; each domain has fewer gateways.
constexpr std::size_t maximum_requests = 512;

constexpr base::duration transfer_timeout = std::chrono::seconds{2};
constexpr base::duration accept_retry_delay = std::chrono::milliseconds{50};

boost::asio::awaitable<std::optional<std::string>> read_frame(boost::beast::tcp_stream& stream,
                                                              std::size_t maximum_bytes) {
    std::array<unsigned char, wire::frame_prefix_size> prefix{};
    boost::system::error_code error;
    co_await boost::asio::async_read(stream, boost::asio::buffer(prefix),
                                     redirect_error(use_awaitable, error));
    std::size_t size = 0;
    for (std::size_t index = 0; index < prefix.size(); ++index) {
        size |= std::size_t{prefix.at(index)} << (8U * index);
    }
    if (error || size > maximum_bytes) {
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

replication_server::replication_server(const boost::asio::any_io_executor& executor,
                                       const boost::asio::ip::tcp::endpoint& address,
                                       const fleet::store_replica& replica, watch_status_function status)
    : m_acceptor(std::make_shared<boost::asio::ip::tcp::acceptor>(net::listen_on(executor, address))),
      m_replica(replica), m_watch_status(std::move(status)) {
    boost::asio::co_spawn(executor, accept(), boost::asio::detached);
}

void replication_server::close() {
    boost::system::error_code ignored; // the acceptor is discarded in any case
    m_acceptor->close(ignored);
}

boost::asio::awaitable<void> replication_server::accept() {
    const auto acceptor = m_acceptor;
    while (acceptor->is_open()) {
        boost::system::error_code error;
        auto socket = co_await acceptor->async_accept(redirect_error(use_awaitable, error));
        if (!error && *m_requests < maximum_requests) {
            boost::asio::co_spawn(acceptor->get_executor(), serve(std::move(socket)), boost::asio::detached);
        } else if (!error) {
            base::log(base::log_level::warning, "peer-request-refused", {{"requests", *m_requests}});
        } else if (acceptor->is_open()) {
            boost::asio::steady_timer pause(acceptor->get_executor(), accept_retry_delay);
            co_await pause.async_wait(redirect_error(use_awaitable, error));
        }
    }
}

void replication_server::notify() {
    for (auto* const timer : m_waiting_requests) {
        timer->cancel();
    }
}

boost::asio::awaitable<void> replication_server::wait_for_changes(const fleet::replication_request& request) {
    boost::asio::steady_timer timer(m_acceptor->get_executor());
    timer.expires_after(std::min<base::duration>(request.wait, maximum_wait));
    m_waiting_requests.insert(&timer);
    boost::system::error_code woken_early;
    co_await timer.async_wait(redirect_error(use_awaitable, woken_early));
    m_waiting_requests.erase(&timer);
}

boost::asio::awaitable<void> replication_server::serve(boost::asio::ip::tcp::socket socket) {
    boost::beast::tcp_stream stream(std::move(socket));
    ++*m_requests;
    const auto counted = std::shared_ptr<void>(nullptr, [requests = m_requests](void*) { --*requests; });
    stream.expires_after(whole_milliseconds(transfer_timeout));
    const auto payload = co_await read_frame(stream, maximum_request_bytes);
    const auto request = payload ? fleet::decode_request(bytes_of(*payload)) : std::nullopt;
    if (!request) {
        base::log(base::log_level::warning, "peer-request-invalid");
        co_return;
    }
    const bool has_changes = m_replica.revision() > request->revision;
    if (request->wait.count() > 0 && !has_changes && m_watch_status().watches_store) {
        co_await wait_for_changes(*request);
    }
    stream.expires_after(whole_milliseconds(transfer_timeout));
    const auto reply = encoded_reply(request->revision);
    co_await write_frame(stream, reply);
}

std::string replication_server::encoded_reply(fleet::store_revision known) const {
    auto changes = m_replica.changes_after(known);
    const auto status = m_watch_status();
    const bool is_complete = !changes.has_value();
    return fleet::encode(fleet::replication_reply{
        m_replica.revision(), is_complete, is_complete ? m_replica.all() : std::move(*changes),
        status.watches_store, whole_milliseconds(status.time_since_failure)});
}

boost::asio::awaitable<std::optional<fleet::replication_reply>>
request_records(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint address,
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
    const auto payload = co_await read_frame(stream, maximum_reply_bytes);
    co_return payload ? fleet::decode_reply(bytes_of(*payload)) : std::nullopt;
}

} // namespace carawayway::gateway

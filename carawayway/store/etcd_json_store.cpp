// HTTP calls to the store: one connection per call, failover between addresses, and the outcome of each call.
#include "carawayway/store/etcd_json_store.hpp"

#include "carawayway/net/message_limits.hpp"
#include "carawayway/net/response_parser.hpp"
#include "carawayway/store/etcd_json_codec.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <optional>
#include <set>
#include <utility>

namespace carawayway::store {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using base::monotonic_now;
using base::time_point;

namespace {

constexpr std::size_t maximum_value_bytes = std::size_t{1024} * 1024;
constexpr std::size_t watch_read_bytes = std::size_t{16} * 1024;
constexpr unsigned http_version = 11;

std::optional<tcp::endpoint> parse_endpoint(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char* const end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    boost::system::error_code error;
    const auto number = asio::ip::make_address(address.substr(0, colon), error);
    if (error || parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return tcp::endpoint(number, port);
}

// A write is never repeated once it may have been sent.
enum class call_kind : std::uint8_t { read, write };

enum class exchange_progress : std::uint8_t {
    not_sent,
    sent,     // the request was sent at least in part; no complete reply arrived
    answered, // a complete reply arrived
};

struct exchange_result {
    exchange_progress progress = exchange_progress::not_sent;
    unsigned status = 0;
    std::string body;
    std::string detail;
};

// True for statuses of a failed request that the store may still have executed.
bool may_have_been_executed(unsigned status) {
    constexpr unsigned request_timeout = 408;
    constexpr unsigned first_server_error = 500;
    return status == request_timeout || status >= first_server_error;
}

constexpr unsigned status_ok = 200;

std::string describe(const std::string& address, const boost::system::error_code& error) {
    return address + ": " + error.message();
}

// Returns the outcome of a write for which no valid success reply arrived.
write_outcome failed_write_outcome(const exchange_result& result) {
    if (result.progress == exchange_progress::not_sent) {
        return write_outcome::unavailable;
    }
    if (result.progress == exchange_progress::sent || may_have_been_executed(result.status)) {
        return write_outcome::outcome_unknown;
    }
    // Any other error reply means that the store did not execute the write. A success status gets here only
    // with an invalid body.
    return result.status == status_ok ? write_outcome::outcome_unknown : write_outcome::unavailable;
}

std::string failure_detail(const exchange_result& result) {
    if (result.progress != exchange_progress::answered) {
        return result.detail;
    }
    return "status " + std::to_string(result.status) + ": " + etcd_json::error_detail(result.body);
}

auto transaction_handler(write_handler handler) {
    return [handler = std::move(handler)](const exchange_result& exchanged) {
        base::failure failure{base::error_kind::store_unavailable, failure_detail(exchanged)};
        if (exchanged.progress == exchange_progress::answered && exchanged.status == status_ok) {
            if (const auto reply = etcd_json::parse_transaction_reply(exchanged.body, failure)) {
                const auto outcome = reply->succeeded ? write_outcome::written : write_outcome::conflict;
                handler({outcome, reply->revision, {}});
                return;
            }
        }
        handler({failed_write_outcome(exchanged), 0, std::move(failure.detail)});
    };
}

} // namespace

std::string_view to_string(write_outcome outcome) {
    constexpr std::array<std::string_view, 4> names{"written", "conflict", "unavailable", "outcome-unknown"};
    return names.at(static_cast<std::size_t>(outcome));
}

class etcd_json_store::implementation : public std::enable_shared_from_this<implementation> {
public:
    using exchange_handler = std::function<void(exchange_result)>;

    struct watch_state {
        explicit watch_state(const asio::any_io_executor& executor) : stream(executor) {}

        boost::beast::tcp_stream stream;
        std::string request;
        watch_handler on_event;
        watch_closed_handler on_closed;
        std::string line; // received bytes of an incomplete line
        bool cancelled = false;
    };
    using watch_pointer = std::shared_ptr<watch_state>;
    using stream_pointer = std::shared_ptr<boost::beast::tcp_stream>;

    implementation(asio::any_io_executor executor, etcd_json_options options)
        : m_executor(std::move(executor)), m_options(std::move(options)) {}

    void call(call_kind kind, std::string target, std::string body, exchange_handler handler) {
        asio::co_spawn(
            m_executor,
            run_call(shared_from_this(), kind, std::move(target), std::move(body), std::move(handler)),
            asio::detached);
    }

    cancel_handle watch(const watch_pointer& state) {
        m_watches.insert(state);
        asio::co_spawn(m_executor, run_watch(shared_from_this(), state), asio::detached);
        return cancel_handle([weak_self = weak_from_this(), weak_state = std::weak_ptr(state)] {
            const auto self = weak_self.lock();
            const auto locked = weak_state.lock();
            if (self && locked) {
                self->cancel_watch(locked);
            }
        });
    }

    asio::any_io_executor executor() const { return m_executor; }

    void shut_down() {
        m_shut_down = true;
        for (const stream_pointer& stream : m_streams) {
            stream->close();
        }
        const std::set<watch_pointer> watches = std::move(m_watches);
        for (const watch_pointer& state : watches) {
            cancel_watch(state);
        }
    }

private:
    void cancel_watch(const watch_pointer& state) {
        state->cancelled = true;
        state->stream.close();
        m_watches.erase(state);
    }

    std::string address_at(std::size_t attempt) const {
        return m_options.addresses[(m_preferred_index + attempt) % m_options.addresses.size()];
    }

    static asio::awaitable<void> run_call(std::shared_ptr<implementation> self, call_kind kind,
                                          std::string target, std::string body, exchange_handler handler) {
        const time_point deadline = monotonic_now() + self->m_options.call_timeout;
        // A handler must not run inside the call that it is passed to, even if there is nothing to wait for.
        co_await asio::post(self->m_executor, asio::use_awaitable);
        const std::size_t count = self->m_options.addresses.size();
        exchange_result result;
        result.detail = "no store address is configured";
        const std::size_t first = self->m_preferred_index;
        for (std::size_t attempt = 0; attempt < count; ++attempt) {
            const std::size_t index = (first + attempt) % count;
            const auto remaining = std::max(base::duration::zero(), deadline - monotonic_now());
            // A read divides the remaining time among the addresses that are left.
            const auto attempt_timeout =
                kind == call_kind::read ? remaining / static_cast<std::int64_t>(count - attempt) : remaining;
            auto stream = std::make_shared<boost::beast::tcp_stream>(self->m_executor);
            self->m_streams.insert(stream);
            result = co_await self->exchange(stream, self->m_options.addresses[index], target, body,
                                             monotonic_now() + attempt_timeout);
            self->m_streams.erase(stream);
            if (self->m_shut_down) {
                co_return;
            }
            if (result.progress == exchange_progress::answered && result.status == status_ok) {
                self->m_preferred_index = index;
                break;
            }
            self->m_preferred_index = (index + 1) % count;
            if (kind == call_kind::write && result.progress != exchange_progress::not_sent) {
                break;
            }
        }
        handler(std::move(result));
    }

    // Connects and sends the request. `progress` of the result tells whether the store may have received it.
    asio::awaitable<exchange_result> send(boost::beast::tcp_stream& stream, const std::string& address,
                                          const std::string& target, const std::string& body,
                                          time_point deadline) {
        exchange_result result;
        const auto endpoint = parse_endpoint(address);
        if (!endpoint) {
            result.detail = address + ": the address is not of the form IP:PORT";
            co_return result;
        }
        boost::system::error_code error;
        stream.expires_after(std::min(deadline - monotonic_now(), m_options.connect_timeout));
        co_await stream.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (error || m_shut_down) {
            result.detail = describe(address, error);
            co_return result;
        }
        http::request<http::string_body> request(http::verb::post, target, http_version);
        request.set(http::field::host, address);
        request.set(http::field::content_type, "application/json");
        request.keep_alive(false);
        request.body() = body;
        request.prepare_payload();
        stream.expires_after(deadline - monotonic_now());
        result.progress = exchange_progress::sent;
        co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            result.detail = describe(address, error);
        }
        co_return result;
    }

    asio::awaitable<exchange_result> exchange(stream_pointer stream, std::string address, std::string target,
                                              std::string body, time_point deadline) {
        exchange_result result = co_await send(*stream, address, target, body, deadline);
        if (result.progress != exchange_progress::sent || !result.detail.empty()) {
            co_return result;
        }
        boost::beast::flat_buffer buffer(net::maximum_read_buffer_bytes);
        net::response_parser<http::string_body> parser;
        net::chunk_extension_limit extension_limit(parser);
        parser.body_limit(m_options.maximum_reply_bytes);
        boost::system::error_code error;
        co_await http::async_read(*stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            result.detail = describe(address, error);
            co_return result;
        }
        result.progress = exchange_progress::answered;
        result.status = parser.get().result_int();
        result.body = std::move(parser.get().body());
        co_return result;
    }

    static asio::awaitable<void> run_watch(std::shared_ptr<implementation> self, watch_pointer state) {
        co_await asio::post(self->m_executor, asio::use_awaitable);
        watch_closed closed;
        const std::size_t count = self->m_options.addresses.size();
        const time_point deadline = monotonic_now() + self->m_options.call_timeout;
        closed.detail = "no store address is configured";
        for (std::size_t attempt = 0; attempt < count && !state->cancelled; ++attempt) {
            const std::string address = self->address_at(0);
            const auto remaining = std::max(base::duration::zero(), deadline - monotonic_now());
            const auto attempt_timeout = remaining / static_cast<std::int64_t>(count - attempt);
            bool opened = false;
            closed = co_await self->stream_watch(state, address, monotonic_now() + attempt_timeout, opened);
            if (opened || state->cancelled) {
                break;
            }
            self->m_preferred_index = (self->m_preferred_index + 1) % count;
        }
        if (state->cancelled) {
            co_return;
        }
        state->cancelled = true;
        state->stream.close();
        self->m_watches.erase(state);
        state->on_closed(std::move(closed));
    }

    // Opens the watch at one address and delivers its events until it ends. Sets `opened` once the store has
    // confirmed the watch.
    asio::awaitable<watch_closed> stream_watch(watch_pointer state, std::string address, time_point deadline,
                                               bool& opened) {
        state->stream.close();
        state->line.clear();
        const exchange_result sent =
            co_await send(state->stream, address, "/v3/watch", state->request, deadline);
        if (sent.progress != exchange_progress::sent || !sent.detail.empty()) {
            co_return watch_closed{watch_end::unavailable, 0, sent.detail};
        }
        boost::beast::flat_buffer buffer(net::maximum_read_buffer_bytes);
        net::response_parser<http::buffer_body> parser;
        parser.body_limit(boost::none);
        boost::system::error_code error;
        co_await http::async_read_header(state->stream, buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, error));
        if (!error && parser.get().result_int() != status_ok) {
            const std::string status = std::to_string(parser.get().result_int());
            co_return watch_closed{watch_end::unavailable, 0, address + ": status " + status};
        }
        const time_point expiry_time = monotonic_now() + m_options.watch_lifetime;
        std::array<char, watch_read_bytes> chunk{};
        while (!error && !parser.is_done()) {
            parser.get().body().data = chunk.data();
            parser.get().body().size = chunk.size();
            co_await http::async_read_some(state->stream, buffer, parser,
                                           asio::redirect_error(asio::use_awaitable, error));
            if (error == http::error::need_buffer) {
                error = {};
            }
            const std::size_t received = chunk.size() - parser.get().body().size;
            if (state->cancelled) {
                break;
            }
            const auto ended = process_bytes(*state, {chunk.data(), received}, opened);
            if (ended) {
                co_return *ended;
            }
            if (opened) {
                state->stream.expires_after(expiry_time - monotonic_now());
            }
        }
        if (error == boost::beast::error::timeout && opened) {
            co_return watch_closed{watch_end::expired, 0, {}};
        }
        co_return watch_closed{watch_end::unavailable, 0, describe(address, error)};
    }

    // Processes the complete lines received so far. Returns the reason if the watch has ended.
    std::optional<watch_closed> process_bytes(watch_state& state, std::string_view bytes,
                                              bool& opened) const {
        state.line += bytes;
        std::size_t start = 0;
        std::size_t end = state.line.find('\n');
        while (end != std::string::npos) {
            auto ended = process_line(state, std::string_view(state.line).substr(start, end - start), opened);
            if (ended || state.cancelled) {
                return ended;
            }
            start = end + 1;
            end = state.line.find('\n', start);
        }
        state.line.erase(0, start);
        if (state.line.size() > m_options.maximum_reply_bytes) {
            return watch_closed{watch_end::unavailable, 0, "watch message is too large"};
        }
        return std::nullopt;
    }

    static std::optional<watch_closed> process_line(watch_state& state, std::string_view line, bool& opened) {
        base::failure failure;
        auto message = etcd_json::parse_watch_message(line, failure);
        if (!message) {
            return watch_closed{watch_end::unavailable, 0, failure.detail};
        }
        opened = opened || message->created;
        if (message->canceled) {
            const bool compacted = message->compact_revision != 0;
            return watch_closed{compacted ? watch_end::compacted : watch_end::unavailable,
                                message->compact_revision, "cancelled by the store"};
        }
        if (message->created || !message->batch.events.empty()) {
            state.on_event(std::move(message->batch));
        }
        return std::nullopt;
    }

    asio::any_io_executor m_executor;
    etcd_json_options m_options;
    std::size_t m_preferred_index = 0;  // index of the address that is tried first
    std::set<stream_pointer> m_streams; // of running calls
    std::set<watch_pointer> m_watches;  // that have neither ended nor been cancelled
    bool m_shut_down = false;
};

etcd_json_store::etcd_json_store(asio::any_io_executor executor, etcd_json_options options)
    : m_implementation(std::make_shared<implementation>(std::move(executor), std::move(options))) {}

etcd_json_store::~etcd_json_store() {
    m_implementation->shut_down();
}

void etcd_json_store::range(std::string_view key, std::string_view range_end, range_handler handler) {
    m_implementation->call(
        call_kind::read, "/v3/kv/range", etcd_json::range_request(key, range_end),
        [handler = std::move(handler)](const exchange_result& exchanged) {
            range_result result;
            base::failure failure{base::error_kind::store_unavailable, failure_detail(exchanged)};
            if (exchanged.progress == exchange_progress::answered && exchanged.status == status_ok) {
                if (auto reply = etcd_json::parse_range_reply(exchanged.body, failure)) {
                    result = {read_outcome::answered, std::move(reply->values), reply->revision, {}};
                    handler(std::move(result));
                    return;
                }
            }
            result.detail = std::move(failure.detail);
            handler(std::move(result));
        });
}

void etcd_json_store::compare_and_swap(std::string_view key, std::int64_t expected_mod_revision,
                                       std::string_view value, std::int64_t lease_id, write_handler handler) {
    if (value.size() > maximum_value_bytes) {
        asio::post(m_implementation->executor(), [handler = std::move(handler)] {
            handler({write_outcome::unavailable, 0, "value is larger than 1 MiB"});
        });
        return;
    }
    m_implementation->call(call_kind::write, "/v3/kv/txn",
                           etcd_json::compare_and_swap_request(key, expected_mod_revision, value, lease_id),
                           transaction_handler(std::move(handler)));
}

void etcd_json_store::erase(std::string_view key, write_handler handler) {
    m_implementation->call(call_kind::write, "/v3/kv/txn", etcd_json::erase_request(key),
                           transaction_handler(std::move(handler)));
}

cancel_handle etcd_json_store::watch(std::string_view key, std::string_view range_end,
                                     std::int64_t start_revision, watch_handler on_event,
                                     watch_closed_handler on_closed) {
    auto state = std::make_shared<implementation::watch_state>(m_implementation->executor());
    state->request = etcd_json::watch_request(key, range_end, start_revision);
    state->on_event = std::move(on_event);
    state->on_closed = std::move(on_closed);
    return m_implementation->watch(state);
}

namespace {

using lease_parser = std::optional<etcd_json::lease_reply> (*)(std::string_view, base::failure&);

// Converts the HTTP exchange of a lease call to its result.
lease_result make_lease_result(const exchange_result& exchanged, lease_parser parse) {
    base::failure failure{base::error_kind::store_unavailable, failure_detail(exchanged)};
    if (exchanged.progress == exchange_progress::answered && exchanged.status == status_ok) {
        if (const auto reply = parse(exchanged.body, failure)) {
            const bool alive = reply->id != 0 && reply->seconds > 0;
            return {alive ? write_outcome::written : write_outcome::conflict,
                    reply->id,
                    std::chrono::seconds(reply->seconds),
                    {}};
        }
    }
    return {failed_write_outcome(exchanged), 0, {}, std::move(failure.detail)};
}

} // namespace

void etcd_json_store::grant_lease(base::duration time_to_live, lease_handler handler) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(time_to_live).count();
    m_implementation->call(call_kind::write, "/v3/lease/grant", etcd_json::lease_grant_request(seconds),
                           [handler = std::move(handler)](const exchange_result& exchanged) {
                               handler(make_lease_result(exchanged, &etcd_json::parse_lease_grant_reply));
                           });
}

void etcd_json_store::keep_lease_alive(std::int64_t id, lease_handler handler) {
    m_implementation->call(call_kind::write, "/v3/lease/keepalive", etcd_json::lease_request(id),
                           [handler = std::move(handler)](const exchange_result& exchanged) {
                               handler(make_lease_result(exchanged, &etcd_json::parse_lease_keepalive_reply));
                           });
}

void etcd_json_store::revoke_lease(std::int64_t id, lease_handler handler) {
    m_implementation->call(call_kind::write, "/v3/lease/revoke", etcd_json::lease_request(id),
                           [handler = std::move(handler), id](const exchange_result& exchanged) {
                               if (exchanged.progress == exchange_progress::answered &&
                                   exchanged.status == status_ok) {
                                   handler({write_outcome::written, id, {}, {}});
                                   return;
                               }
                               handler({failed_write_outcome(exchanged), id, {}, failure_detail(exchanged)});
                           });
}

} // namespace carawayway::store

// HTTP server of the platform stand-in: connections, watches and injected faults.
#include "stand_ins/platform/platform_server.hpp"

#include "carawayway/net/timer.hpp"
#include "stand_ins/platform/key_value_api.hpp"
#include "stand_ins/platform/versioned_store.hpp"
#include "stand_ins/support/address.hpp"
#include "stand_ins/support/control_listener.hpp"
#include "stand_ins/support/io_thread.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>

namespace stand_ins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using carawayway::base::monotonic_now;

namespace {

constexpr std::uint64_t maximum_request_bytes = std::uint64_t{4} * 1024 * 1024;

enum class operation : std::uint8_t {
    range,
    put,
    delete_range,
    transaction,
    watch,
    lease_grant,
    lease_keepalive,
    lease_revoke,
};

struct route {
    std::string_view target;
    operation kind;
    std::string_view counter;
};

constexpr std::array<route, 9> routes{{
    {"/v3/kv/range", operation::range, "range"},
    {"/v3/kv/put", operation::put, "put"},
    {"/v3/kv/deleterange", operation::delete_range, "deleterange"},
    {"/v3/kv/txn", operation::transaction, "txn"},
    {"/v3/watch", operation::watch, "watch"},
    {"/v3/lease/grant", operation::lease_grant, "lease_grant"},
    {"/v3/lease/keepalive", operation::lease_keepalive, "lease_keepalive"},
    {"/v3/lease/revoke", operation::lease_revoke, "lease_revoke"},
    {"/v3/kv/lease/revoke", operation::lease_revoke, "lease_revoke"},
}};

const route* find_route(std::string_view target) {
    const auto* const found = std::find_if(routes.begin(), routes.end(),
                                           [target](const route& entry) { return entry.target == target; });
    return found == routes.end() ? nullptr : found;
}

bool changes_data(operation kind) {
    return kind == operation::put || kind == operation::delete_range || kind == operation::transaction ||
           kind == operation::lease_grant || kind == operation::lease_revoke;
}

// One client connection. A watch waits on `signal` for new pending lines.
struct connection {
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)), signal(socket.get_executor()) {}

    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    carawayway::net::timer signal; // used as a condition variable: cancelling it wakes the waiting coroutine
    std::optional<key_range> watched;      // set while this connection is a watch
    std::int64_t first_revision = 0;       // events of earlier revisions are not sent to the watch
    std::deque<std::string> pending_lines; // messages of the watch that have not been written yet
};

using connection_pointer = std::shared_ptr<connection>;

} // namespace

class platform_server::implementation {
public:
    implementation(const tcp::endpoint& listen, const tcp::endpoint& control)
        : m_store([this](const std::vector<store_event>& events) { notify_watches(events); }), m_api(m_store),
          m_acceptor(open_listener(m_io.executor(), listen)),
          m_control(m_io.executor(), control,
                    [this](const json::object& message) { return run_command(message); }),
          m_advance_timer(m_io.executor()) {
        asio::co_spawn(m_io.executor(), accept(), asio::detached);
        m_io.start();
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    ~implementation() { m_io.stop(); }

    std::string address() const { return to_address(m_acceptor.local_endpoint()); }
    std::string control_address() const { return to_address(m_control.endpoint()); }

    std::string control(std::string_view message) {
        return m_io.run([this, message] {
            return run_control([this](const json::object& command) { return run_command(command); }, message);
        });
    }

private:
    json::object run_command(const json::object& message) {
        json::object reply;
        for (const auto& [key, value] : message) {
            if (key == "delay_ms") {
                m_reply_delay = std::chrono::milliseconds(value.to_number<std::int64_t>());
            } else if (key == "apply_delay_ms") {
                m_apply_delay = std::chrono::milliseconds(value.to_number<std::int64_t>());
            } else if (key == "down") {
                m_down = value.as_bool();
                drop_connections_if_down();
            } else if (key == "hang") {
                m_hang = value.as_bool();
            } else if (key == "lose_replies_after_write") {
                m_replies_to_lose = value.to_number<std::int64_t>();
            } else if (key == "instance_lag_ms") {
                m_store.set_lag(std::chrono::milliseconds(value.to_number<std::int64_t>()));
            } else if (key == "compact_revision") {
                m_store.compact(value.to_number<std::int64_t>());
            } else if (key == "calls") {
                reply["calls"] = call_counters();
            } else {
                throw std::invalid_argument("unknown control field: " + std::string(key));
            }
        }
        return reply;
    }

    json::object call_counters() const {
        json::object counters;
        for (const route& entry : routes) {
            counters[entry.counter] = 0;
        }
        for (const auto& [name, count] : m_calls) {
            counters[name] = count;
        }
        counters["open_watches"] =
            std::count_if(m_connections.begin(), m_connections.end(),
                          [](const auto& client) { return client->watched.has_value(); });
        return counters;
    }

    void drop_connections_if_down() {
        if (!m_down) {
            return;
        }
        for (const connection_pointer& client : m_connections) {
            boost::system::error_code ignored;
            client->socket.close(ignored);
            client->signal.cancel();
        }
    }

    // Applies due lease expirations and delayed events, and sets the timer for the next ones.
    void advance_store() {
        const auto next = m_store.advance(monotonic_now());
        if (!next) {
            return;
        }
        m_advance_timer.expires_at(*next);
        m_advance_timer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                advance_store();
            }
        });
    }

    void notify_watches(const std::vector<store_event>& events) {
        for (const connection_pointer& client : m_connections) {
            if (!client->watched) {
                continue;
            }
            std::vector<store_event> selected;
            std::copy_if(events.begin(), events.end(), std::back_inserter(selected),
                         [&client](const store_event& event) {
                             return event.value.mod_revision >= client->first_revision &&
                                    client->watched->contains(event.key);
                         });
            if (!selected.empty()) {
                push_line(*client, m_api.watch_events(selected));
            }
        }
    }

    static void push_line(connection& watcher, const json::object& message) {
        watcher.pending_lines.push_back(json::serialize(message) + "\n");
        watcher.signal.cancel();
    }

    asio::awaitable<void> accept() {
        while (true) {
            boost::system::error_code error;
            tcp::socket socket =
                co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error || m_down) {
                continue;
            }
            auto accepted = std::make_shared<connection>(std::move(socket));
            m_connections.insert(accepted);
            asio::co_spawn(m_io.executor(), serve(accepted), asio::detached);
        }
    }

    asio::awaitable<void> serve(connection_pointer client) {
        bool keep = true;
        while (keep) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(maximum_request_bytes);
            boost::system::error_code error;
            co_await http::async_read(client->socket, client->buffer, parser,
                                      asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                break;
            }
            keep = co_await answer(client, parser.get());
        }
        m_connections.erase(client);
        boost::system::error_code ignored;
        client->socket.close(ignored);
    }

    // Returns whether the connection can be used for another request.
    asio::awaitable<bool> answer(connection_pointer client, const http::request<http::string_body>& request) {
        if (request.target() == "/control") {
            co_return co_await write_reply(
                client, request, http::status::ok,
                run_control([this](const json::object& command) { return run_command(command); },
                            request.body()));
        }
        if (m_hang) {
            co_await wait_for_close(client);
            co_return false;
        }
        const route* const found = find_route({request.target().data(), request.target().size()});
        if (found == nullptr) {
            co_return co_await write_reply(client, request, http::status::not_found,
                                           R"({"error":"Not Found","code":5,"message":"Not Found"})");
        }
        ++m_calls[std::string(found->counter)];
        if (m_apply_delay > duration::zero()) {
            co_await pause(m_apply_delay);
        }
        auto [status, body] = apply(found->kind, request.body(), *client);
        if (changes_data(found->kind) && status == http::status::ok && m_replies_to_lose > 0) {
            --m_replies_to_lose;
            co_return false;
        }
        if (m_reply_delay > duration::zero()) {
            co_await pause(m_reply_delay);
        }
        if (client->watched) {
            co_await stream_watch(client);
            co_return false;
        }
        co_return co_await write_reply(client, request, status, std::move(body));
    }

    struct call_result {
        http::status status;
        std::string body;
    };

    call_result apply(operation kind, std::string_view body, connection& client) {
        advance_store();
        try {
            const json::value value = json::parse({body.data(), body.size()});
            const json::object reply = dispatch(kind, value.as_object(), client);
            advance_store();
            return {http::status::ok, json::serialize(reply)};
        } catch (const request_error& error) {
            return {http::status::bad_request, error_body(error.code(), error.what())};
        } catch (const std::exception& error) {
            constexpr int grpc_invalid_argument = 3;
            return {http::status::bad_request, error_body(grpc_invalid_argument, error.what())};
        }
    }

    static std::string error_body(int code, std::string_view message) {
        return json::serialize(json::object{{"error", message}, {"code", code}, {"message", message}});
    }

    json::object dispatch(operation kind, const json::object& message, connection& client) {
        const time_point now = monotonic_now();
        switch (kind) {
        case operation::range:
            return m_api.range(message);
        case operation::put:
            return m_api.put(message, now);
        case operation::delete_range:
            return m_api.delete_range(message, now);
        case operation::transaction:
            return m_api.transaction(message, now);
        case operation::lease_grant:
            return m_api.grant_lease(message, now);
        case operation::lease_keepalive:
            return m_api.keep_lease_alive(message, now);
        case operation::lease_revoke:
            return m_api.revoke_lease(message, now);
        case operation::watch:
            create_watch(m_api.watch(message), client);
            break;
        }
        return {};
    }

    void create_watch(const watch_request& request, connection& client) {
        json::object created{{"header", m_api.header()}, {"created", true}};
        if (request.start_revision != 0 && request.start_revision <= m_store.compacted_revision()) {
            created["canceled"] = true;
            created["compact_revision"] = std::to_string(m_store.compacted_revision());
        }
        push_line(client, {{"result", std::move(created)}});
        client.first_revision = request.start_revision == 0 ? m_store.revision() + 1 : request.start_revision;
        for (const auto& events : m_store.events_since(request.range, client.first_revision)) {
            push_line(client, m_api.watch_events(events));
        }
        client.watched = request.range;
    }

    asio::awaitable<void> stream_watch(connection_pointer client) {
        watch_for_close(client);
        http::response<http::empty_body> head(http::status::ok, 11);
        head.set(http::field::content_type, "application/json");
        head.chunked(true);
        http::response_serializer<http::empty_body> serializer(head);
        boost::system::error_code error;
        co_await http::async_write_header(client->socket, serializer,
                                          asio::redirect_error(asio::use_awaitable, error));
        while (!error && client->socket.is_open()) {
            if (client->pending_lines.empty()) {
                co_await wait_for_signal(client);
                continue;
            }
            const std::string line = std::move(client->pending_lines.front());
            client->pending_lines.pop_front();
            co_await asio::async_write(client->socket, http::make_chunk(asio::buffer(line)),
                                       asio::redirect_error(asio::use_awaitable, error));
        }
        client->watched.reset();
    }

    // Closes the connection when the client closes it or sends more data, which also ends its watch.
    static void watch_for_close(const connection_pointer& client) {
        client->socket.async_wait(tcp::socket::wait_read, [client](boost::system::error_code) {
            boost::system::error_code ignored;
            client->socket.close(ignored);
            client->signal.cancel();
        });
    }

    static asio::awaitable<void> wait_for_signal(connection_pointer client) {
        boost::system::error_code ignored;
        client->signal.expires_at(time_point::max());
        co_await client->signal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    static asio::awaitable<void> wait_for_close(connection_pointer client) {
        watch_for_close(client);
        while (client->socket.is_open()) {
            co_await wait_for_signal(client);
        }
    }

    asio::awaitable<void> pause(duration length) {
        carawayway::net::timer timer(m_io.executor(), length);
        co_await timer.async_wait(asio::use_awaitable);
    }

    static asio::awaitable<bool> write_reply(connection_pointer client,
                                             const http::request<http::string_body>& request,
                                             http::status status, std::string body) {
        http::response<http::string_body> response(status, request.version());
        response.set(http::field::content_type, "application/json");
        response.keep_alive(request.keep_alive());
        response.body() = std::move(body);
        response.prepare_payload();
        boost::system::error_code error;
        co_await http::async_write(client->socket, response,
                                   asio::redirect_error(asio::use_awaitable, error));
        co_return !error && request.keep_alive();
    }

    io_thread m_io; // declared first: the members below run on it and must be destroyed before it
    versioned_store m_store;
    key_value_api m_api;
    std::set<connection_pointer> m_connections;
    std::map<std::string, std::int64_t, std::less<>> m_calls; // number of calls by counter name
    tcp::acceptor m_acceptor;
    control_listener m_control;
    carawayway::net::timer m_advance_timer;
    duration m_reply_delay{};
    duration m_apply_delay{}; // until a call takes effect, which it does even if its client disconnects
    std::int64_t m_replies_to_lose = 0;
    bool m_down = false;
    bool m_hang = false;
};

platform_server::platform_server(const tcp::endpoint& listen, const tcp::endpoint& control)
    : m_implementation(std::make_unique<implementation>(listen, control)) {}

platform_server::platform_server()
    : platform_server(tcp::endpoint(asio::ip::address_v4::loopback(), 0),
                      tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {}

platform_server::~platform_server() = default;

std::string platform_server::address() const {
    return m_implementation->address();
}

std::string platform_server::control_address() const {
    return m_implementation->control_address();
}

std::string platform_server::control(std::string_view message) {
    return m_implementation->control(message);
}

} // namespace stand_ins

// HTTP interface, request execution and fault injection of one backend stand-in server.
#include "stand_ins/backend/backend_server.hpp"

#include "carawayway/base/hash.hpp"
#include "stand_ins/support/address.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <utility>

namespace stand_ins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using carawayway::base::duration;
using carawayway::base::monotonic_now;
using carawayway::base::time_point;

namespace {

constexpr std::uint64_t maximum_body_bytes = std::uint64_t{2} * 1024 * 1024;
constexpr std::string_view crash_marker = "crash-server";
// A truncated answer announces its full length, but only this fraction (1/N) of the body is sent.
constexpr std::size_t truncation_divisor = 2;

duration milliseconds_of(const json::value& value) {
    return std::chrono::milliseconds(value.to_number<std::int64_t>());
}

} // namespace

struct backend_server::connection {
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)), signal(socket.get_executor()) {}

    tcp::socket socket; // closed when the server goes down
    boost::beast::flat_buffer buffer;
    carawayway::net::timer signal; // used as a condition variable: cancelling it wakes the waiting coroutine
    std::uint64_t watch_generation = 0; // callbacks of earlier close watches are ignored
    bool client_closed = false;
};

struct backend_server::reply {
    http::status status = http::status::ok;
    std::string body;
    bool refused = false;
};

struct backend_server::task {
    http::request<http::string_body> request;
    std::string id;
    std::string body_hash;
    time_point deadline = time_point::max();
    std::uint32_t execution = 0;
    reply answer;
};

backend_server::backend_server(asio::any_io_executor executor, server_spec spec,
                               const backend_options& options, execution_log& log)
    : m_executor(std::move(executor)), m_spec(std::move(spec)), m_options(options), m_execution_log(log),
      m_acceptor(open_listener(m_executor, m_spec.endpoint)), m_restart_timer(m_executor),
      m_random(carawayway::base::hash_bytes(m_spec.name, options.seed)),
      m_warm_from(monotonic_now() + options.cold_start), m_service_time(options.service_time),
      m_drain_grace(options.drain_grace), m_restart_after(options.restart_after) {
    m_spec.endpoint = m_acceptor.local_endpoint();
}

void backend_server::start() {
    asio::co_spawn(m_executor, accept(shared_from_this()), asio::detached);
}

asio::awaitable<void> backend_server::accept(std::shared_ptr<backend_server> self) {
    // A restart opens a new listener with its own accept loop; the crash count tells this loop to end.
    const std::uint64_t crashes = self->m_crashes;
    while (self->m_acceptor.is_open() && self->m_crashes == crashes) {
        boost::system::error_code error;
        tcp::socket socket =
            co_await self->m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            continue;
        }
        if (self->m_connections.size() >= self->m_spec.connections) {
            ++self->m_refused_connections;
            reset_connection(socket);
            continue;
        }
        socket.set_option(tcp::no_delay(true), error);
        auto client = std::make_shared<connection>(std::move(socket));
        self->m_connections.insert(client);
        asio::co_spawn(self->m_executor, serve(self, client), asio::detached);
    }
}

asio::awaitable<void> backend_server::serve(std::shared_ptr<backend_server> self, connection_pointer client) {
    while (client->socket.is_open()) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(maximum_body_bytes);
        boost::system::error_code error;
        co_await http::async_read(client->socket, client->buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
        auto work = std::make_shared<task>();
        work->request = parser.release();
        co_await self->answer(client, work);
    }
    self->m_connections.erase(client);
    boost::system::error_code ignored;
    client->socket.close(ignored);
}

asio::awaitable<void> backend_server::answer(connection_pointer client, task_pointer work) {
    co_await wait_while_stalled(client);
    if (!client->socket.is_open()) {
        co_return;
    }
    if (work->request.target() == "/load") {
        work->answer.body = load_document();
    } else if (work->request.target() == "/health") {
        work->answer.body = health_document();
    } else {
        co_await run(client, work);
    }
    if (client->socket.is_open()) {
        co_await write_reply(client, work);
    }
}

// Executes the request and sets its answer, or closes the connection without an answer.
asio::awaitable<void> backend_server::run(connection_pointer client, task_pointer work) {
    const auto& request = work->request;
    work->id = std::string(request["X-Request-Id"]);
    work->body_hash = fmt::format("{:016x}", carawayway::base::hash_bytes(request.body()));
    const time_point now = monotonic_now();
    const auto timeout_text = request["X-Request-Timeout-Ms"];
    std::int64_t timeout = 0;
    if (std::from_chars(timeout_text.data(), timeout_text.data() + timeout_text.size(), timeout).ec ==
        std::errc{}) {
        work->deadline = now + std::chrono::milliseconds(timeout);
    }
    if (must_refuse_work(now)) {
        ++m_refused;
        record(*work, backend_event_kind::refuse, m_drain_start ? "draining" : "no-slot");
        work->answer = {http::status::service_unavailable, R"({"error":"refused"})", true};
        co_return;
    }
    begin_execution(*work);
    const std::string_view target(request.target().data(), request.target().size());
    if (request.body().find(crash_marker) != std::string::npos ||
        target.find(crash_marker) != std::string::npos) {
        crash(work.get());
        co_return;
    }
    const task_outcome outcome = co_await execute(client, work);
    if (outcome == task_outcome::crashed) {
        co_return;
    }
    if (outcome == task_outcome::client_closed) {
        end_execution(*work, backend_event_kind::cancel, "client-closed");
        boost::system::error_code ignored;
        client->socket.close(ignored);
        co_return;
    }
    if (outcome == task_outcome::deadline_passed) {
        work->answer = {http::status::gateway_timeout, R"({"error":"deadline"})", false};
        end_execution(*work, backend_event_kind::cancel, "deadline");
        co_return;
    }
    if (m_fail_fast) {
        work->answer = {http::status::internal_server_error, R"({"error":"failed"})", false};
    } else {
        const json::object body{{"server", m_spec.name},
                                {"request_id", work->id},
                                {"body_hash", work->body_hash},
                                {"target", target},
                                {"execution", work->execution}};
        work->answer = {http::status::ok, json::serialize(body), false};
    }
    end_execution(*work, backend_event_kind::finish, "");
    co_await swap_with_other_answer(client, work);
    if (m_answer_delay > duration::zero()) {
        co_await pause(client, m_answer_delay);
    }
}

asio::awaitable<backend_server::task_outcome> backend_server::execute(connection_pointer client,
                                                                      task_pointer work) {
    const time_point begin = monotonic_now();
    const time_point end = m_fail_fast ? begin : begin + next_service_time(begin);
    watch_for_close(client);
    while (true) {
        if (!client->socket.is_open()) {
            co_return task_outcome::crashed;
        }
        if (client->client_closed) {
            co_return task_outcome::client_closed;
        }
        const time_point now = monotonic_now();
        if (now >= end && !m_hold) {
            break;
        }
        if (now >= work->deadline) {
            stop_watching(client);
            co_return task_outcome::deadline_passed;
        }
        client->signal.expires_at(std::min(work->deadline, m_hold ? time_point::max() : end));
        boost::system::error_code ignored;
        co_await client->signal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    stop_watching(client);
    co_return task_outcome::finished;
}

asio::awaitable<void> backend_server::wait_while_stalled(connection_pointer client) {
    if (!m_stall) {
        co_return;
    }
    watch_for_close(client);
    while (m_stall && client->socket.is_open() && !client->client_closed) {
        client->signal.expires_at(time_point::max());
        boost::system::error_code ignored;
        co_await client->signal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    stop_watching(client);
    if (client->client_closed) {
        boost::system::error_code ignored;
        client->socket.close(ignored);
    }
}

// Waits for the answer to another request and swaps the two. If no other request is in flight, the answer is
// sent unchanged.
asio::awaitable<void> backend_server::swap_with_other_answer(connection_pointer client, task_pointer work) {
    if (!m_swap_answers) {
        co_return;
    }
    if (m_waiting_task) {
        std::swap(m_waiting_task->answer, work->answer);
        release_waiting_answer();
        co_return;
    }
    if (m_in_flight == 0) {
        co_return;
    }
    m_waiting_client = client;
    m_waiting_task = work;
    while (m_waiting_task == work && client->socket.is_open()) {
        client->signal.expires_at(time_point::max());
        boost::system::error_code ignored;
        co_await client->signal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void backend_server::release_waiting_answer() {
    if (m_waiting_client) {
        m_waiting_client->signal.cancel();
    }
    m_waiting_client.reset();
    m_waiting_task.reset();
}

asio::awaitable<void> backend_server::pause(connection_pointer client, duration length) {
    const time_point end = monotonic_now() + length;
    while (client->socket.is_open() && monotonic_now() < end) {
        client->signal.expires_at(end);
        boost::system::error_code ignored;
        co_await client->signal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> backend_server::write_reply(connection_pointer client, task_pointer work) {
    http::response<http::string_body> response(work->answer.status, work->request.version());
    response.set(http::field::content_type, "application/json");
    response.set("X-Load", load_text());
    if (m_drain_start) {
        response.set("X-Draining", "true");
    }
    if (work->answer.refused) {
        response.set("X-Refused", "before-work");
    }
    response.keep_alive(work->request.keep_alive());
    response.body() = std::move(work->answer.body);
    response.prepare_payload();
    boost::system::error_code error;
    if (m_truncate) {
        http::response_serializer<http::string_body> serializer(response);
        co_await http::async_write_header(client->socket, serializer,
                                          asio::redirect_error(asio::use_awaitable, error));
        const std::string& body = response.body();
        co_await asio::async_write(client->socket,
                                   asio::buffer(body.data(), body.size() / truncation_divisor),
                                   asio::redirect_error(asio::use_awaitable, error));
    } else {
        co_await http::async_write(client->socket, response,
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    if (error || m_truncate || !work->request.keep_alive()) {
        client->socket.close(error);
    }
}

void backend_server::watch_for_close(const connection_pointer& client) {
    const std::uint64_t generation = ++client->watch_generation;
    client->socket.async_wait(tcp::socket::wait_read, [client, generation](boost::system::error_code error) {
        if (error || generation != client->watch_generation) {
            return;
        }
        boost::system::error_code ignored;
        if (client->socket.available(ignored) > 0) {
            return; // readable because the client pipelined its next request, not because it closed
        }
        client->client_closed = true;
        client->signal.cancel();
    });
}

// Must be called before the next read. Otherwise the read could consume the bytes by which the pending wait
// distinguishes received data from a closed connection.
void backend_server::stop_watching(const connection_pointer& client) {
    ++client->watch_generation;
    boost::system::error_code ignored;
    client->socket.cancel(ignored);
}

bool backend_server::must_refuse_work(time_point now) const {
    if (m_drain_start && now >= *m_drain_start + m_drain_grace) {
        return true;
    }
    return m_in_flight >= m_spec.slots;
}

void backend_server::begin_execution(task& work) {
    ++m_in_flight;
    ++m_started;
    m_maximum_in_flight = std::max(m_maximum_in_flight, m_in_flight);
    if (!work.id.empty()) {
        ++m_executions[work.id];
    }
    work.execution = m_execution_log.count_execution(work.id);
    m_load.add_sample(m_in_flight, monotonic_now());
    record(work, backend_event_kind::start, "");
}

void backend_server::end_execution(const task& work, backend_event_kind kind, const char* reason) {
    --m_in_flight;
    ++(kind == backend_event_kind::finish ? m_finished : m_cancelled);
    m_load.add_sample(m_in_flight, monotonic_now());
    record(work, kind, reason);
    if (kind == backend_event_kind::cancel && m_in_flight == 0) {
        release_waiting_answer();
    }
}

void backend_server::record(const task& work, backend_event_kind kind, const char* reason) {
    backend_event event;
    event.kind = kind;
    event.server = m_spec.name;
    event.service = m_spec.service;
    event.request_id = work.id;
    event.body_hash = work.body_hash;
    event.in_flight = m_in_flight;
    event.execution = work.execution;
    event.reason = reason;
    m_execution_log.record(std::move(event));
}

void backend_server::crash(const task* cause) {
    if (!m_acceptor.is_open()) {
        return;
    }
    ++m_crashes;
    record(cause != nullptr ? *cause : task{}, backend_event_kind::crash,
           cause != nullptr ? "request" : "killed");
    m_in_flight = 0;
    m_load.add_sample(0, monotonic_now());
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (const connection_pointer& client : m_connections) {
        reset_connection(client->socket);
    }
    wake_all_connections();
    release_waiting_answer();
    if (m_restart_after > duration::zero()) {
        m_restart_timer.expires_after(m_restart_after);
        m_restart_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (!error) {
                self->restart();
            }
        });
    }
}

void backend_server::restart() {
    crash(nullptr);
    m_restart_timer.cancel();
    m_acceptor = open_listener(m_executor, m_spec.endpoint);
    m_warm_from = monotonic_now() + m_options.cold_start;
    m_drain_start.reset();
    m_stall = false;
    start();
}

void backend_server::set_drain(bool draining, duration grace) {
    m_drain_grace = grace;
    if (!draining) {
        m_drain_start.reset();
    } else if (!m_drain_start) {
        m_drain_start = monotonic_now();
    }
}

void backend_server::wake_all_connections() {
    for (const connection_pointer& client : m_connections) {
        client->signal.cancel();
    }
}

void backend_server::command(const json::object& message) {
    if (const json::value* grace = message.if_contains("grace_ms")) {
        m_drain_grace = milliseconds_of(*grace);
    }
    for (const auto& [key, value] : message) {
        if (key == "server" || key == "grace_ms") {
            continue;
        }
        if (key == "drain") {
            set_drain(value.as_bool(), m_drain_grace);
        } else if (key == "kill") {
            crash(nullptr);
        } else if (key == "restart") {
            restart();
        } else if (key == "stall") {
            m_stall = value.as_bool();
        } else if (key == "hold") {
            m_hold = value.as_bool();
        } else if (key == "late_ms") {
            m_answer_delay = milliseconds_of(value);
        } else if (key == "truncate") {
            m_truncate = value.as_bool();
        } else if (key == "crossed") {
            m_swap_answers = value.as_bool();
        } else if (key == "fail_fast") {
            m_fail_fast = value.as_bool();
        } else if (key == "report_load") {
            m_load.set_fixed(value.is_null() ? std::nullopt
                                             : std::optional(value.to_number<std::uint32_t>()));
        } else if (key == "report_lag_ms") {
            m_load.set_lag(milliseconds_of(value));
        } else if (key == "report_health") {
            m_reported_health =
                value.is_null() ? std::nullopt : std::optional(std::string(value.as_string()));
        } else if (key == "service_time_ms") {
            m_service_time = milliseconds_of(value);
        } else if (key == "restart_ms") {
            m_restart_after = milliseconds_of(value);
        } else {
            throw std::invalid_argument("unknown control field: " + std::string(key));
        }
    }
    if (!m_swap_answers) {
        release_waiting_answer();
    }
    wake_all_connections();
}

duration backend_server::next_service_time(time_point now) {
    double seconds = carawayway::base::to_seconds(m_service_time);
    if (m_options.distribution == service_time_distribution::exponential && seconds > 0) {
        seconds = std::exponential_distribution<double>(1.0 / seconds)(m_random);
    }
    if (now < m_warm_from) {
        seconds *= m_options.cold_factor;
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

std::string backend_server::load_text() {
    return fmt::format("{}/{}", m_load.reported_load(monotonic_now()), m_spec.slots);
}

std::string backend_server::load_document() {
    return json::serialize(json::object{{"in_flight", m_load.reported_load(monotonic_now())},
                                        {"slots", m_spec.slots},
                                        {"draining", m_drain_start.has_value()}});
}

std::string backend_server::health_document() const {
    const std::string status = m_reported_health.value_or(m_drain_start ? "draining" : "ok");
    return json::serialize(json::object{{"status", status}, {"server", m_spec.name}});
}

json::object backend_server::statistics() const {
    json::object repeated;
    for (const auto& [id, count] : m_executions) {
        if (count > 1) {
            repeated[id] = count;
        }
    }
    return {{"service", m_spec.service},
            {"address", to_address(m_spec.endpoint)},
            {"up", m_acceptor.is_open()},
            {"slots", m_spec.slots},
            {"in_flight", m_in_flight},
            {"maximum_in_flight", m_maximum_in_flight},
            {"started", m_started},
            {"finished", m_finished},
            {"cancelled", m_cancelled},
            {"refused", m_refused},
            {"crashes", m_crashes},
            {"connections", m_connections.size()},
            {"refused_connections", m_refused_connections},
            {"repeated", std::move(repeated)}};
}

} // namespace stand_ins

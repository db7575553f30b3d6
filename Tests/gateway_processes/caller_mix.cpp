// One thread for each gateway and kind of connection.
#include "Tests/gateway_processes/caller_mix.hpp"

#include "Tests/gateway_processes/pipelining_caller.hpp"
#include "stand_ins/support/address.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace carawayway::gateway_processes {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t objects = 40;
// Before a gateway that takes no connections is tried again.
constexpr milliseconds connect_interval{20};
// From an answer to the next request.
constexpr milliseconds think_time{5};
// Shorter than servers take, so that the connection always has a request in progress.
constexpr milliseconds pipelining_interval{10};

struct request_kind {
    const char* method;
    std::string path;
    std::string object;
};

// Look-ups and bookings in turn.
request_kind kind_of(std::size_t request) {
    const auto object = std::to_string(request % objects);
    const bool is_lookup = request % 2 == 0;
    return {is_lookup ? "GET" : "POST", (is_lookup ? "/read/" : "/book/") + object, object};
}

} // namespace

caller_mix::caller_mix(gateway_fleet& fleet) : m_fleet(fleet) {
    for (std::size_t gateway = 0; gateway < fleet.gateway_count(); ++gateway) {
        m_senders.emplace_back([this, gateway] { send_on_new_connections(gateway); });
        m_senders.emplace_back([this, gateway] { send_on_kept_connections(gateway); });
        m_senders.emplace_back([this, gateway] { send_pipelined(gateway); });
    }
}

caller_mix::~caller_mix() {
    end();
}

caller_findings caller_mix::end() {
    m_ended = true;
    for (auto& sender : m_senders) {
        sender.join();
    }
    m_senders.clear();
    const std::scoped_lock lock(m_mutex);
    return m_findings;
}

void caller_mix::send_on_new_connections(std::size_t gateway) {
    for (std::size_t request = 0; !m_ended; ++request) {
        const auto kind = kind_of(request);
        const auto program = m_fleet.program_of(gateway);
        const auto seen = m_fleet.send(gateway, kind.method, kind.path, kind.object);
        if (!seen.was_connected) {
            std::this_thread::sleep_for(connect_interval);
            continue;
        }
        seen.status == 0 ? record_cut(1, {program, connection_kind::fresh}) : record_answer(seen.status);
        std::this_thread::sleep_for(think_time);
    }
}

void caller_mix::send_on_kept_connections(std::size_t gateway) {
    for (std::size_t request = 0; !m_ended;) {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        boost::system::error_code error;
        socket.connect(stand_ins::parse_address(m_fleet.caller_address(gateway)).value(), error);
        if (error) {
            std::this_thread::sleep_for(connect_interval);
            continue;
        }
        const auto program = m_fleet.program_of(gateway);
        boost::beast::flat_buffer buffer;
        for (bool is_open = true; is_open && !m_ended; ++request) {
            const auto kind = kind_of(request);
            auto message = m_fleet.make_request(gateway, kind.method, kind.path, kind.object);
            message.keep_alive(true);
            http::write(socket, message, error);
            http::response<http::string_body> response;
            if (!error) {
                http::read(socket, buffer, response, error);
            }
            m_fleet.record_status(message, error ? 0 : response.result_int());
            if (error) {
                record_unanswered({std::string(message["Request-Id"])}, {program, connection_kind::kept});
            } else {
                record_answer(response.result_int());
            }
            is_open = !error && response.keep_alive();
            std::this_thread::sleep_for(think_time);
        }
    }
}

void caller_mix::send_pipelined(std::size_t gateway) {
    for (std::size_t connection = 0; !m_ended; ++connection) {
        const auto program = m_fleet.program_of(gateway);
        const auto requests =
            send_until_closed(m_fleet, gateway, pipelining_interval,
                              "/read/" + std::to_string(connection) + "/", [this] { return m_ended.load(); });
        record_unanswered(requests.unanswered, {program, connection_kind::pipelined});
        if (requests.answered == 0) {
            std::this_thread::sleep_for(connect_interval);
        }
    }
}

void caller_mix::record_answer(unsigned status) {
    const std::scoped_lock lock(m_mutex);
    ++m_findings.answers[status];
}

void caller_mix::record_unanswered(const std::vector<std::string>& requests, const cut_request& kind) {
    record_cut(m_fleet.executed_of(requests), kind);
}

void caller_mix::record_cut(std::size_t requests, const cut_request& kind) {
    if (requests > 0) {
        const std::scoped_lock lock(m_mutex);
        m_findings.cut[kind] += requests;
    }
}

} // namespace carawayway::gateway_processes

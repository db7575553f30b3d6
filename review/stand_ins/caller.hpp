// Callers that keep their connections, and a record of how their requests ended.
#pragma once

#include "review/stand_ins/http_server.hpp"
#include "review/stand_ins/record.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace review {

struct request_end {
    std::string gateway;
    std::string method;
    unsigned status = 0;       // 0: the connection ended without a complete answer
    bool was_connected = true; // false: nothing was sent
    bool is_on_kept_connection = false;
    bool is_own_answer = true; // the body of a success is that of this request
    clock::time_point sent_at;
    clock::time_point ended_at;
};

using request_ends = std::map<std::string, request_end>; // by request ID

struct call {
    std::string method = "GET";
    std::string target;
    std::string host = "hulo84.example";
    std::string object;
    std::string body;
    int deadline_ms = 2000;
};

// One connection of a caller, opened when it is needed.
class caller {
public:
    caller(boost::asio::io_context& context, record& log, request_ends& ends, std::string gateway,
           unsigned short port);

    // Sends one request with a new ID, waits for the answer, and returns its status.
    boost::asio::awaitable<unsigned> send(call what);

    void close();

private:
    boost::asio::awaitable<bool> connect();

    record& m_log;
    request_ends& m_ends;
    std::string m_gateway;
    tcp::endpoint m_address;
    tcp::socket m_socket;
    std::uint64_t m_answers = 0; // on this connection
};

} // namespace review

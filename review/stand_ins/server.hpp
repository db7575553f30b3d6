// Stand-in for a backend server.
#pragma once

#include "review/stand_ins/http_server.hpp"
#include "review/stand_ins/record.hpp"
#include "review/stand_ins/store.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace review {

// What servers have got and run, by request ID.
struct execution_log {
    struct arrival {
        clock::time_point at;
        std::string request_id;
        std::string server;
    };

    std::map<std::string, std::vector<std::string>> executions; // servers that began to run the request
    std::vector<arrival> arrivals;                              // of all requests but health checks
};

struct server_options {
    std::string id;
    std::string service;
    std::string zone;
    int slots = 6;
    int queue = 18;
    milliseconds work{50};
};

class server {
public:
    server(boost::asio::io_context& context, store& platform_store, record& log, execution_log& executions,
           server_options options);

    const std::string& id() const { return m_options.id; }

    // What the server does with a request instead of running it, or nothing.
    using trouble_hook = std::function<std::optional<reply>(const http_request&)>;
    void set_trouble(trouble_hook trouble) { m_trouble = std::move(trouble); }

    // Requests per second that the server names as its limit in all answers.
    void name_limit(std::optional<double> limit) { m_limit = limit; }

private:
    boost::asio::awaitable<reply> handle(http_request request);
    http_response answer_to(const http_request& request, unsigned status, std::string body) const;

    record& m_log;
    execution_log& m_executions;
    server_options m_options;
    std::optional<double> m_limit;
    trouble_hook m_trouble;
    int m_running = 0;
    int m_waiting = 0;
};

} // namespace review

// Runs requests in slots, and answers health checks.
#include "review/stand_ins/server.hpp"

#include <boost/json.hpp>

namespace review {

namespace {

namespace json = boost::json;

constexpr milliseconds queue_check{2};

json::object registration_of(const server_options& options, const std::string& address) {
    const auto born =
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    return {{"address", address},
            {"born", born},
            {"info", json::object{{"service", options.service},
                                  {"version", "v1"},
                                  {"zone", options.zone},
                                  {"slots", options.slots}}},
            {"status", json::object{{"state", "ready"}, {"seq", 1}, {"coldLeftMs", 0}}}};
}

} // namespace

server::server(boost::asio::io_context& context, store& platform_store, record& log,
               execution_log& executions, server_options options)
    : m_log(log), m_executions(executions), m_options(std::move(options)) {
    const auto address = serve(context, [this](http_request request) { return handle(std::move(request)); });
    platform_store.put("servers/" + m_options.id, json::serialize(registration_of(m_options, address)));
}

http_response server::answer_to(const http_request& request, unsigned status, std::string body) const {
    auto response = make_response(status, std::move(body));
    response.set("Request-Id", request["Request-Id"]);
    response.set("Server-Load", std::to_string(m_running) + "," + std::to_string(m_waiting) + "," +
                                    std::to_string(m_options.slots));
    if (m_limit) {
        response.set("Server-Limit", std::to_string(*m_limit));
    }
    return response;
}

boost::asio::awaitable<reply> server::handle(http_request request) {
    if (request.target() == "/health") {
        auto response = make_response(200);
        response.set("Instance-Id", m_options.id);
        co_return reply{std::move(response), {}, {}, nullptr};
    }
    const std::string request_id(request["Request-Id"]);
    m_executions.arrivals.push_back({clock::now(), request_id, m_options.id});
    const auto refuse = [&](unsigned status) {
        auto response = answer_to(request, status, {});
        response.set("Not-Executed", "1");
        return reply{std::move(response), {}, {}, nullptr};
    };
    if (request_id.empty()) {
        co_return refuse(400);
    }
    if (request["Target-Instance"] != m_options.id) {
        co_return refuse(421);
    }
    if (m_trouble) {
        if (auto instead = m_trouble(request)) {
            m_executions.executions[request_id].push_back(m_options.id);
            m_log.line("server " + m_options.id + " runs " + request_id +
                       ", and is in trouble as it answers");
            co_return std::move(*instead);
        }
    }
    if (m_running >= m_options.slots && m_waiting >= m_options.queue) {
        co_return refuse(503);
    }
    ++m_waiting;
    while (m_running >= m_options.slots) {
        co_await sleep_for(queue_check);
    }
    --m_waiting;
    ++m_running;
    m_executions.executions[request_id].push_back(m_options.id);
    co_await sleep_for(m_options.work);
    --m_running;
    auto response = answer_to(request, 200, "answer to " + request_id);
    response.set("Response-Stamp", "stamp-" + request_id);
    co_return reply{std::move(response), {}, {}, nullptr};
}

} // namespace review

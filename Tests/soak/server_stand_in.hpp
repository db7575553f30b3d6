// A backend server with slots and the faults of a soak.
#pragma once

#include "Tests/soak/http_stand_in.hpp"
#include "Tests/soak/run_record.hpp"

#include <boost/json/object.hpp>

#include <random>

namespace carawayway::soak {

enum class server_fault : std::uint8_t {
    none,
    silent_before_run,
    silent_after_run,
    reset_before_run,
    reset_after_run,
    sheds, // refuses with free slots
    slow,
    extra_answers, // of another request, before its own
};

class server_stand_in {
public:
    server_stand_in(boost::asio::io_context& context, std::string id, std::string domain, run_record& record,
                    std::uint32_t seed);

    const std::string& id() const { return m_id; }
    void set_fault(server_fault fault) { m_fault = fault; }
    void leave() { m_leaving = true; }

    // Its entry in the store.
    boost::json::object entry() const;

private:
    boost::asio::awaitable<std::optional<http_response>> handle(http_request request);
    http_response answer_to(const http_request& request, unsigned status, std::string body) const;

    std::string m_id;
    std::string m_domain;
    run_record& m_record;
    std::minstd_rand m_random;
    server_fault m_fault = server_fault::none;
    bool m_leaving = false;
    int m_running = 0;
    http_stand_in m_listener;
};

} // namespace carawayway::soak

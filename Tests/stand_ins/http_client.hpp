// A blocking HTTP client for tests that sends all requests over one connection.
#pragma once

#include <map>
#include <memory>
#include <string>

namespace stand_ins::test {

using headers = std::map<std::string, std::string>;

struct http_reply {
    bool complete = false; // false when the connection ended before the whole reply arrived
    unsigned status = 0;
    std::string body;
    headers fields;
};

class http_client {
public:
    // Connects to the address. Throws boost::system::system_error when the connection is refused.
    explicit http_client(const std::string& address);
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;
    ~http_client(); // closes the connection

    void send(const std::string& target, const std::string& body, const headers& fields = {});
    http_reply receive();
    http_reply exchange(const std::string& target, const std::string& body, const headers& fields = {});

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace stand_ins::test

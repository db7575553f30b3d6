// Implements the blocking HTTP client with Boost.Beast.
#include "Tests/stand_ins/http_client.hpp"

#include "stand_ins/support/address.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace stand_ins::test {

namespace http = boost::beast::http;

struct http_client::state {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket{context};
    boost::beast::flat_buffer buffer;
};

http_client::http_client(const std::string& address) : m_state(std::make_unique<state>()) {
    m_state->socket.connect(parse_address(address).value());
}

http_client::~http_client() = default;

void http_client::send(const std::string& target, const std::string& body, const headers& fields) {
    http::request<http::string_body> request(http::verb::post, target, 11);
    for (const auto& [name, value] : fields) {
        request.set(name, value);
    }
    request.body() = body;
    request.prepare_payload();
    boost::system::error_code ignored; // the following receive() reports the failure
    http::write(m_state->socket, request, ignored);
}

http_reply http_client::receive() {
    http::response<http::string_body> response;
    boost::system::error_code error;
    http::read(m_state->socket, m_state->buffer, response, error);
    http_reply reply;
    reply.complete = !error;
    reply.status = response.result_int();
    reply.body = response.body();
    for (const auto& field : response) {
        reply.fields[std::string(field.name_string())] = std::string(field.value());
    }
    return reply;
}

http_reply http_client::exchange(const std::string& target, const std::string& body, const headers& fields) {
    send(target, body, fields);
    return receive();
}

} // namespace stand_ins::test

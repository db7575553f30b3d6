// Parses addresses, opens listeners and resets connections.
#include "stand_ins/support/address.hpp"

#include <charconv>
#include <cstdint>

namespace stand_ins {

using boost::asio::ip::tcp;

std::optional<tcp::endpoint> parse_address(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view ip_text = text.substr(0, colon);
    if (ip_text.size() >= 2 && ip_text.front() == '[' && ip_text.back() == ']') {
        ip_text = ip_text.substr(1, ip_text.size() - 2);
    }
    const std::string_view port_text = text.substr(colon + 1);
    std::uint16_t port = 0;
    const char* const end = port_text.data() + port_text.size();
    const auto parsed = std::from_chars(port_text.data(), end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(std::string(ip_text), error);
    if (error) {
        return std::nullopt;
    }
    return tcp::endpoint(address, port);
}

std::string to_address(const tcp::endpoint& endpoint) {
    const std::string ip_text = endpoint.address().to_string();
    const std::string port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + ip_text + "]:" + port : ip_text + ":" + port;
}

std::vector<std::string> split(std::string_view text, char separator) {
    std::vector<std::string> parts;
    while (!text.empty()) {
        const std::size_t end = text.find(separator);
        if (end != 0) {
            parts.emplace_back(text.substr(0, end));
        }
        if (end == std::string_view::npos) {
            break;
        }
        text.remove_prefix(end + 1);
    }
    return parts;
}

void reset_connection(tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

tcp::acceptor open_listener(const boost::asio::any_io_executor& executor, const tcp::endpoint& endpoint) {
    tcp::acceptor acceptor(executor);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen(boost::asio::socket_base::max_listen_connections);
    return acceptor;
}

} // namespace stand_ins

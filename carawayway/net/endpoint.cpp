// Parses IP:port.
#include "carawayway/net/endpoint.hpp"

#include <charconv>
#include <cstdint>

namespace carawayway::net {

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(const std::string& address) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::string host = address.substr(0, colon);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code error;
    const auto parsed = boost::asio::ip::make_address(host, error);
    std::uint16_t port = 0;
    const char* const last = address.data() + address.size();
    const auto [end, port_error] = std::from_chars(address.data() + colon + 1, last, port);
    if (error || port_error != std::errc{} || end != last) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(parsed, port);
}

} // namespace carawayway::net

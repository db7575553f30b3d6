// Parses IP:port.
#include "carawayway/net/endpoint.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string_view>

namespace carawayway::net {

namespace {

bool is_visible(std::string_view text) {
    return std::all_of(text.begin(), text.end(),
                       [](char character) { return character > ' ' && character <= '~'; });
}

bool names_one_host(const boost::asio::ip::address& address) {
    const bool is_broadcast = address.is_v4() && address.to_v4() == boost::asio::ip::address_v4::broadcast();
    return !address.is_unspecified() && !address.is_multicast() && !is_broadcast;
}

} // namespace

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(const std::string& address) {
    const auto colon = address.rfind(':');
    // The parser of addresses stops at a null character, and takes any text as the scope of an IPv6 address.
    if (colon == std::string::npos || !is_visible(address)) {
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

std::optional<boost::asio::ip::tcp::endpoint> parse_remote_endpoint(const std::string& address) {
    const auto parsed = parse_endpoint(address);
    const bool is_usable = parsed && parsed->port() != 0 && names_one_host(parsed->address());
    return is_usable ? parsed : std::nullopt;
}

} // namespace carawayway::net

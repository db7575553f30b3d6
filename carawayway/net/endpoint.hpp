// Converts textual addresses to Asio endpoints.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace carawayway::net {

// Parses IP:port, with an IPv6 address in brackets. Returns nothing for any other text, such as a host name.
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(const std::string& address);

// The same for an address to connect to. Returns nothing for port 0, and for addresses that name no single
// host.
std::optional<boost::asio::ip::tcp::endpoint> parse_remote_endpoint(const std::string& address);

} // namespace carawayway::net

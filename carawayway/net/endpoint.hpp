// Addresses as text, towards Asio.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace carawayway::net {

// Reads IP:port, with an IPv6 address in brackets. Empty for anything else; names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(const std::string& address);

} // namespace carawayway::net

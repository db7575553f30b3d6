// IP:PORT addresses as used in flags and control messages, and helpers for sockets.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace stand_ins {

// Parses "IP:PORT", with IPv6 addresses in brackets. Host names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint> parse_address(std::string_view text);

std::string to_address(const boost::asio::ip::tcp::endpoint& endpoint);

// Splits the text at each separator and omits empty parts.
std::vector<std::string> split(std::string_view text, char separator);

// Closes the connection with a TCP reset instead of an orderly shutdown.
void reset_connection(boost::asio::ip::tcp::socket& socket);

// Opens a listener. Throws boost::system::system_error on failure.
boost::asio::ip::tcp::acceptor open_listener(const boost::asio::any_io_executor& executor,
                                             const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace stand_ins

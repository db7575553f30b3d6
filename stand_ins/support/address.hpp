// Addresses by IP number, as flags and control messages write them.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace stand_ins {

// Parses "IP:PORT"; IPv6 numbers are written in brackets. Names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint> parse_address(std::string_view text);

std::string to_address(const boost::asio::ip::tcp::endpoint& endpoint);

// Splits at each separator and leaves out empty parts.
std::vector<std::string> split(std::string_view text, char separator);

// Resets the connection: the peer sees an error in place of an orderly close.
void reset_connection(boost::asio::ip::tcp::socket& socket);

// Opens a listener, or throws boost::system::system_error.
boost::asio::ip::tcp::acceptor open_listener(const boost::asio::any_io_executor& executor,
                                             const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace stand_ins

// Description of one stand-in backend server, and the two texts that list servers.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace stand_ins {

struct server_spec {
    std::string name;
    std::string service;
    boost::asio::ip::tcp::endpoint endpoint; // port 0 takes a free one
    std::uint32_t slots = 1;                 // requests that run at once
    std::uint32_t connections = 350;

    bool operator==(const server_spec&) const = default;
};

// Parses "name@IP:PORT/slots[,...]". Throws std::invalid_argument naming the wrong entry.
std::vector<server_spec> parse_server_list(std::string_view text);

// Parses lines "name service IP:PORT slots connections"; empty lines and lines that start with '#' are
// skipped. Throws std::invalid_argument naming the wrong line.
std::vector<server_spec> parse_server_file(std::string_view text);

} // namespace stand_ins

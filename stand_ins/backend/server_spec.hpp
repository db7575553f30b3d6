// Description of one backend stand-in server, and the two formats in which servers are listed.
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
    boost::asio::ip::tcp::endpoint endpoint; // port 0 selects a free port
    std::uint32_t slots = 1;                 // maximum number of concurrent requests
    std::uint32_t connections = 350;         // maximum number of open connections

    bool operator==(const server_spec&) const = default;
};

// Parses "name@IP:PORT/slots[,...]". Throws std::invalid_argument that names the invalid entry.
std::vector<server_spec> parse_server_list(std::string_view text);

// Parses lines "name service IP:PORT slots connections". Skips empty lines and lines that start with '#'.
// Throws std::invalid_argument that names the invalid line.
std::vector<server_spec> parse_server_file(std::string_view text);

} // namespace stand_ins

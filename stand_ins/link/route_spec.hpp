// Description of one relayed route, and the two formats in which routes are listed.
#pragma once

#include "carawayway/base/time.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace stand_ins {

struct route_spec {
    std::string name;
    boost::asio::ip::tcp::endpoint listen; // port 0 selects a free port
    boost::asio::ip::tcp::endpoint target;
    carawayway::base::duration delay{}; // in each direction

    bool operator==(const route_spec&) const = default;
};

// Parses "[NAME=]LISTEN=TARGET[,delay_ms][,...]"; the name defaults to LISTEN. Throws std::invalid_argument
// that names the invalid entry.
std::vector<route_spec> parse_route_list(std::string_view text);

// Parses lines "name LISTEN TARGET delay_ms". Skips empty lines and lines that start with '#'. Throws
// std::invalid_argument that names the invalid line.
std::vector<route_spec> parse_route_file(std::string_view text);

} // namespace stand_ins

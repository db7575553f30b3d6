// Parses server lists and server files.
#include "stand_ins/backend/server_spec.hpp"

#include "stand_ins/support/address.hpp"

#include <charconv>
#include <stdexcept>

namespace stand_ins {

namespace {

std::uint32_t parse_count(std::string_view text, const std::string& entry) {
    std::uint32_t count = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), count);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() || count == 0) {
        throw std::invalid_argument("expected a positive number in server entry: " + entry);
    }
    return count;
}

boost::asio::ip::tcp::endpoint parse_endpoint(std::string_view text, const std::string& entry) {
    const auto endpoint = parse_address(text);
    if (!endpoint) {
        throw std::invalid_argument("expected IP:PORT in server entry: " + entry);
    }
    return *endpoint;
}

} // namespace

std::vector<server_spec> parse_server_list(std::string_view text) {
    std::vector<server_spec> specs;
    for (const std::string& entry : split(text, ',')) {
        const std::size_t at = entry.find('@');
        const std::size_t slash = entry.rfind('/');
        if (at == std::string::npos || slash == std::string::npos || slash < at) {
            throw std::invalid_argument("expected name@IP:PORT/slots in server entry: " + entry);
        }
        server_spec spec;
        spec.name = entry.substr(0, at);
        spec.endpoint = parse_endpoint(std::string_view(entry).substr(at + 1, slash - at - 1), entry);
        spec.slots = parse_count(std::string_view(entry).substr(slash + 1), entry);
        specs.push_back(std::move(spec));
    }
    return specs;
}

std::vector<server_spec> parse_server_file(std::string_view text) {
    constexpr std::size_t fields_per_line = 5;
    std::vector<server_spec> specs;
    for (const std::string& line : split(text, '\n')) {
        const auto fields = split(line, ' ');
        if (fields.empty() || fields.front().starts_with('#')) {
            continue;
        }
        if (fields.size() != fields_per_line) {
            throw std::invalid_argument("expected 'name service IP:PORT slots connections' in server line: " +
                                        line);
        }
        server_spec spec;
        spec.name = fields[0];
        spec.service = fields[1];
        spec.endpoint = parse_endpoint(fields[2], line);
        spec.slots = parse_count(fields[3], line);
        spec.connections = parse_count(fields[4], line);
        specs.push_back(std::move(spec));
    }
    return specs;
}

} // namespace stand_ins

// Parses route lists and route files.
#include "stand_ins/link/route_spec.hpp"

#include "stand_ins/support/address.hpp"

#include <charconv>
#include <chrono>
#include <stdexcept>

namespace stand_ins {

namespace {

carawayway::base::duration parse_delay(std::string_view text, const std::string& entry) {
    double delay = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), delay);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() || delay < 0) {
        throw std::invalid_argument("expected a delay in ms in route: " + entry);
    }
    return std::chrono::duration_cast<carawayway::base::duration>(
        std::chrono::duration<double, std::milli>(delay));
}

route_spec make_route(const std::string& name, const std::string& listen, const std::string& target,
                      const std::string& entry) {
    const auto listen_address = parse_address(listen);
    const auto target_address = parse_address(target);
    if (!listen_address || !target_address) {
        throw std::invalid_argument("expected IP:PORT in route: " + entry);
    }
    return {name, *listen_address, *target_address, {}};
}

} // namespace

std::vector<route_spec> parse_route_list(std::string_view text) {
    std::vector<route_spec> routes;
    for (const std::string& entry : split(text, ',')) {
        const auto parts = split(entry, '=');
        if (parts.size() == 3) {
            routes.push_back(make_route(parts[0], parts[1], parts[2], entry));
        } else if (parts.size() == 2) {
            routes.push_back(make_route(parts[0], parts[0], parts[1], entry));
        } else if (!routes.empty()) {
            routes.back().delay = parse_delay(entry, entry);
        } else {
            throw std::invalid_argument("expected [NAME=]LISTEN=TARGET[,delay_ms] in route: " + entry);
        }
    }
    return routes;
}

std::vector<route_spec> parse_route_file(std::string_view text) {
    constexpr std::size_t fields_per_line = 4;
    std::vector<route_spec> routes;
    for (const std::string& line : split(text, '\n')) {
        const auto fields = split(line, ' ');
        if (fields.empty() || fields.front().starts_with('#')) {
            continue;
        }
        if (fields.size() != fields_per_line) {
            throw std::invalid_argument("expected 'name LISTEN TARGET delay_ms' in route line: " + line);
        }
        routes.push_back(make_route(fields[0], fields[1], fields[2], line));
        routes.back().delay = parse_delay(fields[3], line);
    }
    return routes;
}

} // namespace stand_ins

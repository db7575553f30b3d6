// The response to a look-up: the entry instances that a caller should use for a service.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/base/time.hpp"

#include <optional>
#include <string>
#include <vector>

namespace carawayway::engine {

struct lookup_entry {
    std::string name;
    std::string address; // IP:port for callers
    std::string failure_domain;
    std::string region;

    bool operator==(const lookup_entry&) const = default;
};

struct lookup_response {
    std::optional<base::error_kind> error; // if set, only `detail` is filled as well
    std::string detail;
    std::string service;
    std::string home_region;
    std::vector<lookup_entry> entries; // most preferred first
    base::duration lifetime{};         // callers may cache the response this long
    std::string request_id_prefix;
    base::duration acceptance{}; // new request IDs with the prefix are accepted this long

    bool operator==(const lookup_response&) const = default;
};

} // namespace carawayway::engine

// Reads once what the store holds for a check: the configuration in force, and how many servers each service
// has.
#pragma once

#include "carawayway/cli/http_call.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace carawayway::cli {

struct store_contents {
    std::optional<std::string> configuration;                           // absent: the store has none
    std::map<std::string, std::size_t, std::less<>> servers_by_service; // without those that are leaving

    bool operator==(const store_contents&) const = default;
};

class store_listing {
public:
    // Like perform(), which is used outside of tests.
    using call_function =
        std::function<std::optional<http_reply>(const http_call&, call_failure&, std::string& reason)>;

    store_listing(std::string address, call_function call)
        : m_address(std::move(address)), m_call(std::move(call)) {}

    // Returns std::nullopt and the reason if a page cannot be read.
    std::optional<store_contents> read(std::string& reason) const;

private:
    std::string m_address; // IP:port of the store
    call_function m_call;
};

} // namespace carawayway::cli

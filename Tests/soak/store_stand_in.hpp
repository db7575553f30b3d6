// The platform's store, as its page describes it, with the faults of a soak.
#pragma once

#include "Tests/soak/http_stand_in.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace carawayway::soak {

enum class store_fault : std::uint8_t {
    none,
    silent,          // nothing is answered, and nothing is done
    busy,            // 503
    resets,          // connections are reset before anything is done
    answers_lost,    // done, and the connection is reset
    history_dropped, // watches are told that their history is gone
};

class store_stand_in {
public:
    explicit store_stand_in(boost::asio::io_context& context);

    std::string address() const { return m_listener.address(); }
    void set_fault(store_fault fault);

    // What operators and servers write; the value is kept as base64 text.
    void put(const std::string& key, const boost::json::object& value);

private:
    struct stored_item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t lease = 0;
    };
    struct stored_change {
        std::string key;
        std::int64_t revision = 0;
        bool deleted = false;
    };
    struct held_lease {
        std::chrono::steady_clock::time_point ends;
        std::chrono::milliseconds lifetime{};
    };

    boost::asio::awaitable<std::optional<http_response>> handle(http_request request);
    http_response perform(const http_request& request, const std::string& path,
                          const std::map<std::string, std::string>& query);
    boost::asio::awaitable<std::optional<http_response>> watch(std::map<std::string, std::string> query);
    boost::asio::awaitable<void> expire();
    http_response list(const std::string& after) const;
    http_response transact(const std::string& body);
    void write(const std::string& key, const std::string& value, std::int64_t lease);
    void end_lease(std::int64_t id);
    void announce();

    std::map<std::string, stored_item> m_items;
    std::vector<stored_change> m_changes;
    std::int64_t m_dropped_to = 0; // history up to this revision is gone
    std::map<std::int64_t, held_lease> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_last_lease = 0;
    store_fault m_fault = store_fault::none;
    std::set<boost::asio::steady_timer*> m_watches;
    http_stand_in m_listener;
};

} // namespace carawayway::soak

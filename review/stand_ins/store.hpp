// Stand-in for the platform's metadata store, as the page PROTOCOL describes it.
#pragma once

#include "review/stand_ins/http_server.hpp"
#include "review/stand_ins/record.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review {

class store {
public:
    explicit store(boost::asio::io_context& context, record& log);

    // One address for each machine, so that the store can turn a machine away. Returns HOST:PORT.
    std::string listen_for(const std::string& machine);

    // Writes and removes on behalf of operators and servers.
    void put(const std::string& key, const std::string& value);
    void erase(const std::string& key);

    // The store answers all calls of a machine with 503, or no longer. With `takes_keys_away`, it removes all
    // keys of the machine's leases at once.
    void turn_away(const std::string& machine, bool takes_keys_away);
    void take_back(const std::string& machine) { m_turned_away.erase(machine); }

    std::size_t count(const std::string& prefix) const;

private:
    struct item {
        std::string value; // as written
        std::int64_t revision = 0;
        std::int64_t created_revision = 0;
        std::int64_t lease = 0;
    };
    struct change {
        std::string key;
        item written;
        bool deleted = false;
    };
    struct lease {
        clock::time_point ends_at;
        milliseconds lifetime{};
        std::string machine;
    };

    boost::asio::awaitable<reply> handle(std::string machine, http_request request);
    boost::asio::awaitable<http_response> watch(std::map<std::string, std::string> query);
    http_response execute(const std::string& machine, const http_request& request,
                          const std::map<std::string, std::string>& query);
    http_response list(const std::map<std::string, std::string>& query) const;
    http_response transact(const std::string& body);
    void write(const std::string& key, const std::string& value, std::int64_t lease_id);
    void remove(const std::string& key);
    void end_lease(std::int64_t id);
    boost::asio::awaitable<void> expire_leases();
    void forget_old_changes();
    void notify();

    boost::asio::io_context& m_context;
    record& m_log;
    std::map<std::string, item> m_items;
    std::vector<std::pair<clock::time_point, change>> m_changes;
    std::int64_t m_forgotten_revision = 0;
    std::map<std::int64_t, lease> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_last_lease = 0;
    std::set<std::string> m_turned_away;
    std::set<boost::asio::steady_timer*> m_watches;
};

} // namespace review

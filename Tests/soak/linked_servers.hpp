// Links between gateways and backend servers that can be cut, and a view of the store that lists the servers
// at the addresses of their links.
#pragma once

#include "Tests/soak/http_server.hpp"
#include "Tests/soak/store_stand_in.hpp"
#include "stand_ins/link/link_relay.hpp"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>

namespace carawayway::soak {

enum class link_fault : std::uint8_t {
    none,
    reset,      // open connections are reset, and new ones are refused
    hang,       // open connections carry nothing, and new ones get no answer
    refuse_new, // open connections live on, and new ones are refused
};

// Whether the view of the store answers.
enum class store_link : std::uint8_t { open, unavailable };

// Gateways that use this view of the store reach servers only through the links; all others are not affected.
class linked_servers {
public:
    // `address_of_server` has the IP:port of each server by ID. `store` must outlive this object, and be used
    // on the event loop of `context`.
    linked_servers(boost::asio::io_context& context, store_stand_in& store,
                   const std::map<std::string, std::string>& address_of_server);

    // IP:port of the view of the store.
    std::string store_address() const { return m_view.address(); }
    // Applies to the links of all servers. May be called on any thread.
    void set_fault(link_fault fault);
    // Call it on the event loop.
    void set_store_link(store_link link) { m_store_link = link; }

private:
    boost::asio::awaitable<std::optional<http_response>> handle(http_request request);
    // Replaces the addresses of servers in the items or events of an answer of the store.
    void replace_addresses(http_response& response) const;

    store_stand_in& m_store;
    stand_ins::link_relay m_links;
    std::map<std::string, std::string> m_link_of_address; // by the server's own address
    store_link m_store_link = store_link::open;
    http_server m_view;
};

} // namespace carawayway::soak

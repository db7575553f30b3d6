// Relays calls to the store and rewrites the registrations of servers in the answers.
#include "Tests/soak/linked_servers.hpp"

#include "carawayway/json/base64.hpp"
#include "stand_ins/support/address.hpp"

#include <boost/json.hpp>

namespace carawayway::soak {

namespace {

namespace json = boost::json;

std::vector<stand_ins::route_spec> routes_to(const std::map<std::string, std::string>& address_of_server) {
    std::vector<stand_ins::route_spec> routes;
    routes.reserve(address_of_server.size());
    for (const auto& [server, address] : address_of_server) {
        routes.push_back({server,
                          {boost::asio::ip::make_address("127.1.4.1"), 0},
                          stand_ins::parse_address(address).value(),
                          {}});
    }
    return routes;
}

} // namespace

linked_servers::linked_servers(boost::asio::io_context& context, store_stand_in& store,
                               const std::map<std::string, std::string>& address_of_server)
    : m_store(store), m_links(routes_to(address_of_server)),
      m_view(context, "127.1.1.1", [this](http_request request) { return handle(std::move(request)); }) {
    for (const auto& [server, address] : address_of_server) {
        m_link_of_address[address] = m_links.address(server);
    }
}

void linked_servers::set_fault(link_fault fault) {
    const json::object message{{"route", "*"},
                               {"cut", fault == link_fault::reset},
                               {"unreachable", fault == link_fault::hang},
                               {"refuse_new", fault == link_fault::refuse_new}};
    m_links.control(json::serialize(message));
}

boost::asio::awaitable<std::optional<http_response>> linked_servers::handle(http_request request) {
    if (m_store_link == store_link::unavailable) {
        co_return http_response{boost::beast::http::status::service_unavailable, request.version()};
    }
    auto response = co_await m_store.handle(std::move(request));
    if (response && response->result_int() == 200) {
        replace_addresses(*response);
    }
    co_return response;
}

void linked_servers::replace_addresses(http_response& response) const {
    auto document = json::parse(response.body());
    for (const auto* const list : {"items", "events"}) {
        auto* const records = document.as_object().if_contains(list);
        if (records == nullptr) {
            continue;
        }
        for (auto& record : records->as_array()) {
            auto& fields = record.as_object();
            if (!fields.at("key").as_string().starts_with("servers/") || !fields.contains("value")) {
                continue;
            }
            const auto text = carawayway::json::base64_decode(std::string(fields.at("value").as_string()));
            auto registration = json::parse(text.value()).as_object();
            const auto link = m_link_of_address.find(std::string(registration.at("address").as_string()));
            if (link != m_link_of_address.end()) {
                registration["address"] = link->second;
                fields["value"] = carawayway::json::base64_encode(json::serialize(registration));
            }
        }
    }
    response.body() = json::serialize(document);
    response.prepare_payload();
}

} // namespace carawayway::soak

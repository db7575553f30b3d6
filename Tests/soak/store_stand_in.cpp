// Implements listing, transactions, leases and watches of the store.
#include "Tests/soak/store_stand_in.hpp"

#include "carawayway/json/base64.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace carawayway::soak {

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr std::size_t page_size = 20;     // small, so that listings have several pages
constexpr milliseconds hang_time{60'000}; // longer than any timeout of a gateway
constexpr milliseconds lease_check_interval{50};
// Of each of the calls that a request may wait for.
constexpr milliseconds slow_time{700};
constexpr milliseconds copy_interval{200};
constexpr std::size_t maximum_copies = 40;
constexpr unsigned status_conflict = 412;
constexpr unsigned status_gone = 410;

std::map<std::string, std::string> parse_query(const std::string& target) {
    std::map<std::string, std::string> values;
    auto begin = target.find('?');
    while (begin != std::string::npos) {
        const auto end = target.find('&', begin + 1);
        const auto pair = target.substr(begin + 1, end == std::string::npos ? end : end - begin - 1);
        const auto equals = pair.find('=');
        values[pair.substr(0, equals)] = equals == std::string::npos ? "" : pair.substr(equals + 1);
        begin = end;
    }
    return values;
}

std::string percent_decode(const std::string& text) {
    std::string plain;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            plain += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
            index += 2;
        } else {
            plain += text[index];
        }
    }
    return plain;
}

} // namespace

store_stand_in::store_stand_in(boost::asio::io_context& context)
    : m_executor(context.get_executor()),
      m_listener(context, "127.1.1.1", [this](http_request request) { return handle(std::move(request)); }) {
    boost::asio::co_spawn(context, expire_leases(), boost::asio::detached);
}

void store_stand_in::set_fault(store_fault fault) {
    m_fault = fault;
    if (fault == store_fault::history_compacted) {
        m_compacted_revision = m_revision;
        m_changes.clear();
    }
    notify_watches();
}

void store_stand_in::put(const std::string& key, const json::object& value) {
    put_bytes(key, json::serialize(value));
}

void store_stand_in::put_bytes(const std::string& key, const std::string& value) {
    const auto encoded = carawayway::json::base64_encode(value);
    m_external_writes[key] = encoded;
    write(key, encoded, 0);
}

void store_stand_in::erase(const std::string& key) {
    m_external_writes[key] = std::nullopt;
    if (m_items.erase(key) > 0) {
        m_changes.push_back({key, ++m_revision, true});
        notify_watches();
    }
}

void store_stand_in::take_copy() {
    const auto now = std::chrono::steady_clock::now();
    if (!m_copies.empty() && now < m_copies.back().taken_at + copy_interval) {
        return;
    }
    m_copies.push_back({now, m_items, m_leases, m_revision});
    if (m_copies.size() > maximum_copies) {
        m_copies.pop_front();
    }
}

void store_stand_in::restore_copy(milliseconds age, milliseconds rewrite_delay) {
    const auto now = std::chrono::steady_clock::now();
    while (m_copies.size() > 1 && m_copies.back().taken_at > now - age) {
        m_copies.pop_back();
    }
    if (m_copies.empty()) {
        return;
    }
    const auto& restored = m_copies.back();
    m_items = restored.items;
    m_leases = restored.leases;
    for (auto& [id, state] : m_leases) {
        state.expires_at = now + state.lifetime;
    }
    m_revision = restored.revision;
    m_changes.clear();
    m_compacted_revision = m_revision;
    ++m_era;
    notify_watches();
    boost::asio::co_spawn(m_executor, write_again(rewrite_delay), boost::asio::detached);
}

boost::asio::awaitable<void> store_stand_in::write_again(milliseconds delay) {
    co_await sleep_for(delay);
    for (const auto& [key, value] : m_external_writes) {
        const auto found = m_items.find(key);
        if (value && (found == m_items.end() || found->second.value != *value)) {
            write(key, *value, 0);
        } else if (!value && found != m_items.end()) {
            m_items.erase(found);
            m_changes.push_back({key, ++m_revision, true});
            notify_watches();
        }
    }
}

std::size_t store_stand_in::count(const std::string& prefix) const {
    return static_cast<std::size_t>(
        std::count_if(m_items.begin(), m_items.end(),
                      [&prefix](const auto& item) { return item.first.starts_with(prefix); }));
}

void store_stand_in::write(const std::string& key, const std::string& value, std::int64_t lease) {
    m_items[key] = {value, ++m_revision, lease};
    m_changes.push_back({key, m_revision, false});
    notify_watches();
}

void store_stand_in::notify_watches() {
    for (auto* const timer : m_waiting_watches) {
        timer->cancel();
    }
}

void store_stand_in::remove_lease(std::int64_t id) {
    m_leases.erase(id);
    for (auto found = m_items.begin(); found != m_items.end();) {
        if (found->second.lease != id) {
            ++found;
            continue;
        }
        m_changes.push_back({found->first, ++m_revision, true});
        found = m_items.erase(found);
    }
    notify_watches();
}

boost::asio::awaitable<void> store_stand_in::expire_leases() {
    for (;;) {
        co_await sleep_for(lease_check_interval);
        take_copy();
        std::vector<std::int64_t> ended;
        for (const auto& [id, state] : m_leases) {
            if (state.expires_at < std::chrono::steady_clock::now()) {
                ended.push_back(id);
            }
        }
        for (const auto id : ended) {
            remove_lease(id);
        }
    }
}

boost::asio::awaitable<std::optional<http_response>> store_stand_in::handle(http_request request) {
    auto response = co_await answer(std::move(request));
    if (response) {
        response->set("Store-Era", std::to_string(m_era));
    }
    co_return response;
}

boost::asio::awaitable<std::optional<http_response>> store_stand_in::answer(http_request request) {
    if (m_fault == store_fault::hang) {
        co_await sleep_for(hang_time);
        co_return std::nullopt;
    }
    if (m_fault == store_fault::reset) {
        co_return std::nullopt;
    }
    const bool is_read = request.method() == http::verb::get;
    if (m_fault == store_fault::unavailable || (m_fault == store_fault::writes_rejected && !is_read)) {
        co_return make_response(503);
    }
    const std::string target(request.target());
    const auto path = target.substr(0, target.find('?'));
    if (path == "/kv-watch") {
        auto events = co_await watch(parse_query(target));
        co_return events;
    }
    if (m_fault == store_fault::slow) {
        co_await sleep_for(slow_time);
    }
    auto response = execute(request, path, parse_query(target));
    if (m_fault == store_fault::responses_lost) {
        co_return std::nullopt;
    }
    co_return response;
}

http_response store_stand_in::execute(const http_request& request, const std::string& path,
                                      const std::map<std::string, std::string>& query) {
    const auto number_after = [&path](std::string_view prefix) {
        return std::stoll(path.substr(prefix.size()));
    };
    if (path == "/kv-range") {
        const auto after = query.find("after");
        return list_items(after == query.end() ? std::string{} : percent_decode(after->second));
    }
    if (path == "/kv-lease") {
        const milliseconds lifetime{json::parse(request.body()).as_object().at("ttlMs").to_number<int>()};
        m_leases[++m_last_lease] = {std::chrono::steady_clock::now() + lifetime, lifetime};
        return make_response(
            200, json::serialize(json::object{{"lease", m_last_lease}, {"ttlMs", lifetime.count()}}));
    }
    if (path.starts_with("/kv-keep/")) {
        const auto state = m_leases.find(number_after("/kv-keep/"));
        if (state == m_leases.end()) {
            return make_response(404);
        }
        state->second.expires_at = std::chrono::steady_clock::now() + state->second.lifetime;
        return make_response(200, json::serialize(json::object{{"ttlMs", state->second.lifetime.count()}}));
    }
    if (path.starts_with("/kv-lease-end/")) {
        remove_lease(number_after("/kv-lease-end/"));
        return make_response(200, "{}");
    }
    return path == "/kv-txn" ? transact(request.body()) : make_response(404);
}

http_response store_stand_in::list_items(const std::string& after) const {
    json::array items;
    auto next = m_items.upper_bound(after);
    for (; next != m_items.end() && items.size() < page_size; ++next) {
        items.push_back(json::object{{"key", next->first},
                                     {"value", next->second.value},
                                     {"rev", next->second.revision},
                                     {"createdRev", next->second.revision},
                                     {"lease", next->second.lease}});
    }
    return make_response(200, json::serialize(json::object{{"items", items},
                                                           {"hasMore", next != m_items.end()},
                                                           {"currentRev", m_revision}}));
}

http_response store_stand_in::transact(const std::string& body) {
    const auto call = json::parse(body).as_object();
    for (const auto& row : call.at("expect").as_array()) {
        const auto found = m_items.find(std::string(row.at("key").as_string()));
        const std::int64_t revision = found == m_items.end() ? 0 : found->second.revision;
        if (revision != row.at("rev").to_number<std::int64_t>()) {
            return make_response(status_conflict, json::serialize(json::object{{"items", json::array{}}}));
        }
    }
    for (const auto& row : call.at("writes").as_array()) {
        const auto lease = row.at("lease").to_number<std::int64_t>();
        if (lease != 0 && !m_leases.contains(lease)) {
            return make_response(404);
        }
    }
    for (const auto& key : call.at("deletes").as_array()) {
        if (m_items.erase(std::string(key.as_string())) > 0) {
            m_changes.push_back({std::string(key.as_string()), ++m_revision, true});
            notify_watches();
        }
    }
    for (const auto& row : call.at("writes").as_array()) {
        const auto lease = row.at("lease").to_number<std::int64_t>();
        write(std::string(row.at("key").as_string()), std::string(row.at("value").as_string()), lease);
    }
    return make_response(200, json::serialize(json::object{{"rev", m_revision}}));
}

boost::asio::awaitable<std::optional<http_response>>
store_stand_in::watch(std::map<std::string, std::string> query) {
    const std::int64_t after = std::stoll(query["after"]);
    const auto is_unavailable = [&] { return after < m_compacted_revision || after > m_revision; };
    if (is_unavailable()) {
        co_return make_response(status_gone);
    }
    if (m_changes.empty() || m_changes.back().revision <= after) {
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
        timer.expires_after(milliseconds{std::stoll(query["waitMs"])});
        m_waiting_watches.insert(&timer);
        boost::system::error_code ignored_error;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored_error));
        m_waiting_watches.erase(&timer);
    }
    if (m_fault == store_fault::hang) {
        co_await sleep_for(hang_time);
    }
    const bool answers_reads = m_fault == store_fault::none || m_fault == store_fault::history_compacted ||
                               m_fault == store_fault::writes_rejected;
    if (!answers_reads) {
        co_return std::nullopt;
    }
    if (is_unavailable()) {
        co_return make_response(status_gone);
    }
    json::array events;
    for (const auto& item : m_changes) {
        if (item.revision <= after) {
            continue;
        }
        if (item.deleted) {
            events.push_back(json::object{{"key", item.key}, {"rev", item.revision}, {"deleted", true}});
        } else if (const auto found = m_items.find(item.key); found != m_items.end()) {
            events.push_back(json::object{{"key", item.key},
                                          {"value", found->second.value},
                                          {"rev", item.revision},
                                          {"createdRev", item.revision},
                                          {"lease", found->second.lease}});
        }
    }
    co_return make_response(200,
                            json::serialize(json::object{{"events", events}, {"currentRev", m_revision}}));
}

} // namespace carawayway::soak

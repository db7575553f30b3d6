// A stand-in of the platform's store, as PROTOCOL.md describes it: items, watches, transactions and leases.
#pragma once

#include "review/world_2/net.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review {

class store {
public:
    // Serves until the process ends.
    bool start() {
        m_listener = listen_at_free_port(m_port);
        if (m_listener < 0) {
            return false;
        }
        std::thread([this] { accept_callers(); }).detach();
        std::thread([this] { end_leases(); }).detach();
        return true;
    }

    std::uint16_t port() const { return m_port; }

    // A write of the operator or of a server.
    void put(const std::string& key, const std::string& value) {
        const std::lock_guard lock(m_mutex);
        put_locked(key, base64(value), 0);
    }

    void remove(const std::string& key) {
        const std::lock_guard lock(m_mutex);
        remove_locked(key);
    }

private:
    struct item {
        std::string value; // base64
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct event {
        std::string key;
        std::int64_t revision = 0;
        std::optional<item> written; // nothing: deleted
    };
    struct lease {
        std::chrono::milliseconds lifetime{};
        clock::time_point ends;
    };
    struct answer {
        int status = 200;
        boost::json::object body;
    };

    static std::string base64(const std::string& bytes) {
        static constexpr std::string_view letters =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t at = 0; at < bytes.size(); at += 3) {
            std::uint32_t group = 0;
            for (std::size_t index = 0; index < 3; ++index) {
                group = group << 8U |
                        (at + index < bytes.size() ? static_cast<std::uint8_t>(bytes[at + index]) : 0U);
            }
            for (std::size_t index = 0; index < 4; ++index) {
                const bool is_padding = at + index > bytes.size();
                text += is_padding ? '=' : letters[group >> (18U - 6U * index) & 63U];
            }
        }
        return text;
    }

    static std::string decoded(std::string_view text) {
        std::string result;
        for (std::size_t at = 0; at < text.size(); ++at) {
            if (text[at] == '%' && at + 2 < text.size()) {
                result +=
                    static_cast<char>(std::strtol(std::string(text.substr(at + 1, 2)).c_str(), nullptr, 16));
                at += 2;
            } else {
                result += text[at];
            }
        }
        return result;
    }

    static std::string parameter(const std::string& target, const std::string& name) {
        const auto begin = target.find_first_of("?&", 0);
        for (auto at = begin; at != std::string::npos; at = target.find('&', at + 1)) {
            if (target.compare(at + 1, name.size() + 1, name + "=") == 0) {
                const auto from = at + name.size() + 2;
                return decoded(target.substr(from, target.find('&', from) - from));
            }
        }
        return {};
    }

    static boost::json::object described(const std::string& key, const item& known) {
        return {{"key", key},
                {"value", known.value},
                {"rev", known.revision},
                {"createdRev", known.created},
                {"lease", known.lease}};
    }

    void put_locked(const std::string& key, const std::string& value, std::int64_t lease_id) {
        ++m_revision;
        const auto found = m_items.find(key);
        const auto created = found == m_items.end() ? m_revision : found->second.created;
        m_items[key] = {value, m_revision, created, lease_id};
        m_events.push_back({key, m_revision, m_items[key]});
        m_changed.notify_all();
    }

    void remove_locked(const std::string& key) {
        if (m_items.erase(key) > 0) {
            m_events.push_back({key, ++m_revision, std::nullopt});
            m_changed.notify_all();
        }
    }

    void end_lease_locked(std::int64_t id) {
        m_leases.erase(id);
        std::vector<std::string> keys;
        for (const auto& [key, known] : m_items) {
            if (known.lease == id) {
                keys.push_back(key);
            }
        }
        for (const auto& key : keys) {
            remove_locked(key);
        }
    }

    void end_leases() {
        for (;;) {
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
            const std::lock_guard lock(m_mutex);
            std::vector<std::int64_t> ended;
            for (const auto& [id, known] : m_leases) {
                if (known.ends <= clock::now()) {
                    ended.push_back(id);
                }
            }
            for (const auto id : ended) {
                end_lease_locked(id);
            }
        }
    }

    void accept_callers() {
        for (;;) {
            const int caller = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (caller >= 0) {
                std::thread([this, caller] { serve(caller); }).detach();
            }
        }
    }

    void serve(int caller) {
        reader input(caller);
        while (const auto head = input.read_head()) {
            const auto body = input.read_body(head->content_length());
            const auto reply = handle(head->method(), head->target(), body);
            const auto text = boost::json::serialize(reply.body);
            if (!send_all(caller, fmt::format("HTTP/1.1 {} Status\r\nContent-Type: application/json\r\n"
                                              "Content-Length: {}\r\n\r\n{}",
                                              reply.status, text.size(), text))) {
                break;
            }
        }
        ::close(caller);
    }

    answer handle(const std::string& method, const std::string& target, const std::string& body) {
        const auto path = target.substr(0, target.find('?'));
        std::unique_lock lock(m_mutex);
        if (path == "/kv-range") {
            return list(parameter(target, "prefix"), parameter(target, "after"));
        }
        if (path == "/kv-watch") {
            return watch(target, lock);
        }
        boost::system::error_code error;
        const auto parsed = boost::json::parse(body.empty() ? "{}" : body, error);
        if (error || !parsed.is_object()) {
            return {400, {}};
        }
        const auto id = std::strtoll(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        if (path == "/kv-lease") {
            const auto lifetime = std::chrono::milliseconds{parsed.at("ttlMs").to_number<std::int64_t>()};
            m_leases[++m_last_lease] = {lifetime, clock::now() + lifetime};
            return {200, {{"lease", m_last_lease}, {"ttlMs", lifetime.count()}}};
        }
        if (path.rfind("/kv-keep/", 0) == 0) {
            const auto found = m_leases.find(id);
            if (found == m_leases.end()) {
                return {404, {}};
            }
            found->second.ends = clock::now() + found->second.lifetime;
            return {200, {{"ttlMs", found->second.lifetime.count()}}};
        }
        if (path.rfind("/kv-lease-end/", 0) == 0 && method == "DELETE") {
            end_lease_locked(id);
            return {200, {}};
        }
        return path == "/kv-txn" ? change(parsed.get_object()) : answer{404, {}};
    }

    answer list(const std::string& prefix, const std::string& after) const {
        constexpr std::size_t page = 500;
        boost::json::array items;
        bool has_more = false;
        for (const auto& [key, known] : m_items) {
            if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after)) {
                continue;
            }
            if (items.size() == page) {
                has_more = true;
                break;
            }
            items.emplace_back(described(key, known));
        }
        return {200, {{"items", std::move(items)}, {"hasMore", has_more}, {"currentRev", m_revision}}};
    }

    answer watch(const std::string& target, std::unique_lock<std::mutex>& lock) {
        const auto prefix = parameter(target, "prefix");
        const auto after = std::strtoll(parameter(target, "after").c_str(), nullptr, 10);
        const auto wait = std::strtoll(parameter(target, "waitMs").c_str(), nullptr, 10);
        const auto end = clock::now() + std::chrono::milliseconds{wait};
        boost::json::array events;
        for (bool is_over = false; events.empty() && !is_over;) {
            for (const auto& change : m_events) {
                if (change.revision <= after || change.key.rfind(prefix, 0) != 0) {
                    continue;
                }
                if (change.written) {
                    events.emplace_back(described(change.key, *change.written));
                } else {
                    events.emplace_back(boost::json::object{
                        {"key", change.key}, {"rev", change.revision}, {"deleted", true}});
                }
            }
            is_over = events.empty() && m_changed.wait_until(lock, end) == std::cv_status::timeout;
        }
        return {200, {{"events", std::move(events)}, {"currentRev", m_revision}}};
    }

    answer change(const boost::json::object& order) {
        for (const auto& row : order.at("expect").as_array()) {
            const auto found = m_items.find(std::string(row.at("key").as_string()));
            const auto known = found == m_items.end() ? 0 : found->second.revision;
            if (known != row.at("rev").to_number<std::int64_t>()) {
                return {412, {{"items", boost::json::array{}}}};
            }
        }
        for (const auto& row : order.at("writes").as_array()) {
            const auto id = row.at("lease").to_number<std::int64_t>();
            if (id != 0 && !m_leases.contains(id)) {
                return {404, {}};
            }
        }
        for (const auto& row : order.at("writes").as_array()) {
            put_locked(std::string(row.at("key").as_string()), std::string(row.at("value").as_string()),
                       row.at("lease").to_number<std::int64_t>());
        }
        for (const auto& key : order.at("deletes").as_array()) {
            remove_locked(std::string(key.as_string()));
        }
        return {200, {{"rev", m_revision}}};
    }

    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::int64_t m_revision = 1;
    std::int64_t m_last_lease = 100;
    std::map<std::string, item> m_items;
    std::vector<event> m_events;
    std::map<std::int64_t, lease> m_leases;
};

} // namespace review

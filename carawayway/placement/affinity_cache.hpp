// Remembers which servers handled an object recently: they probably have it cached and answer faster.
#pragma once

#include "carawayway/base/time.hpp"

#include <array>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace carawayway::placement {

// LRU cache that maps an object to the servers that handled it last.
class affinity_cache {
public:
    // The usual server of an object and the one that took its overflow.
    static constexpr std::size_t servers_per_object = 2;

    // `capacity` is the maximum number of objects.
    explicit affinity_cache(std::size_t capacity) : m_capacity(capacity) {}

    // Records that the server handled the object. `object` is the hash of service and object, `server` the
    // hash of the server's ID.
    void record(std::uint64_t object, std::uint64_t server);

    // Whether the server is one of the last that handled the object.
    bool contains(std::uint64_t object, std::uint64_t server) const;

    // The server that handled the object last, or 0.
    std::uint64_t latest_server(std::uint64_t object) const;

    std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        std::array<std::uint64_t, servers_per_object> servers{}; // most recent first; 0: none
        std::list<std::uint64_t>::iterator position;
    };

    std::size_t m_capacity;
    std::list<std::uint64_t> m_order; // objects, most recently used first
    std::unordered_map<std::uint64_t, entry> m_entries;
};

} // namespace carawayway::placement

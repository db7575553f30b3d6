// Bounds the memory of all messages that a gateway holds: requests of callers and responses of servers.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

namespace carawayway::gateway {

// Requests leave a part of the memory to responses, so that the answer to a request that was taken can be
// read. Large messages leave a part to small ones.
class message_memory {
public:
    enum class message_kind : std::uint8_t { request, response };

    // What a message holds beyond this counts as large.
    static constexpr std::size_t small_message_bytes = 64U << 10U;
    // Parts of the total.
    static constexpr double request_share = 0.875;
    static constexpr double large_share = 0.75;

    explicit message_memory(std::size_t total_bytes) : m_pool(std::make_shared<pool>()) {
        m_pool->total = total_bytes;
        m_pool->for_requests = static_cast<std::size_t>(static_cast<double>(total_bytes) * request_share);
        m_pool->for_large = static_cast<std::size_t>(static_cast<double>(total_bytes) * large_share);
    }

    // Runs when there is no room for a message, so that something else gives way to later ones.
    void set_pressure_handler(std::function<void()> on_pressure) {
        m_pool->on_pressure = std::move(on_pressure);
    }

    std::size_t total_bytes() const { return m_pool->total; }
    std::size_t used_bytes() const { return m_pool->used; }
    std::size_t most_used_bytes() const { return m_pool->most_used; }

private:
    struct pool {
        std::size_t total = 0;         // bytes
        std::size_t for_requests = 0;  // bytes up to which requests may bring `used`
        std::size_t for_large = 0;     // bytes
        std::size_t used = 0;          // bytes of all reservations; at most `total`
        std::size_t used_by_large = 0; // bytes beyond small_message_bytes of each; at most `for_large`
        std::size_t most_used = 0;     // since the start
        std::function<void()> on_pressure;
    };

    static std::size_t large_part(std::size_t bytes) { return bytes - std::min(bytes, small_message_bytes); }

public:
    // The memory of one message, returned at the end of its life, which may be after that of the
    // message_memory.
    class reservation {
    public:
        // Of a message that is not counted, as it is small and made by this gateway.
        reservation() = default;
        reservation(const message_memory& memory, message_kind kind) : m_pool(memory.m_pool), m_kind(kind) {}
        reservation(const reservation&) = delete;
        reservation(reservation&& other) noexcept
            : m_pool(std::move(other.m_pool)), m_kind(other.m_kind),
              m_bytes(std::exchange(other.m_bytes, 0)) {}
        reservation& operator=(const reservation&) = delete;
        reservation& operator=(reservation&& other) noexcept {
            release();
            m_pool = std::move(other.m_pool);
            m_kind = other.m_kind;
            m_bytes = std::exchange(other.m_bytes, 0);
            return *this;
        }
        ~reservation() { release(); }

        std::size_t bytes() const { return m_bytes; }

        // Returns false, and changes nothing, if there is no room for a message of this size. A message can
        // always become smaller. Only for a reservation of a message_memory.
        bool try_resize(std::size_t bytes) {
            const std::size_t used = m_pool->used - m_bytes + bytes;
            const std::size_t used_by_large = m_pool->used_by_large - large_part(m_bytes) + large_part(bytes);
            const std::size_t limit = m_kind == message_kind::request ? m_pool->for_requests : m_pool->total;
            if (bytes > m_bytes && (used > limit || used_by_large > m_pool->for_large)) {
                if (m_pool->on_pressure) {
                    m_pool->on_pressure();
                }
                return false;
            }
            set(bytes, used, used_by_large);
            return true;
        }

    private:
        void set(std::size_t bytes, std::size_t used, std::size_t used_by_large) {
            m_bytes = bytes;
            m_pool->used = used;
            m_pool->used_by_large = used_by_large;
            m_pool->most_used = std::max(m_pool->most_used, used);
        }

        void release() {
            if (m_pool) {
                set(0, m_pool->used - m_bytes, m_pool->used_by_large - large_part(m_bytes));
            }
        }

        std::shared_ptr<pool> m_pool; // null if not counted
        message_kind m_kind = message_kind::request;
        std::size_t m_bytes = 0;
    };

private:
    std::shared_ptr<pool> m_pool;
};

} // namespace carawayway::gateway

// A bounded queue for one producer thread and one consumer thread that wakes the consumer after a push.
#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace carawayway::base {

// The producer calls `Wake` when the consumer may be asleep. A push to a full ring fails; it never blocks.
template <class T, class Wake = std::function<void()>>
class bounded_ring {
public:
    bounded_ring(std::size_t capacity, Wake wake) : m_queue(capacity), m_wake(std::move(wake)) {}

    bounded_ring(const bounded_ring&) = delete;
    bounded_ring& operator=(const bounded_ring&) = delete;
    bounded_ring(bounded_ring&&) = delete;
    bounded_ring& operator=(bounded_ring&&) = delete;

    ~bounded_ring() {
        m_queue.consume_all([](T* value) { std::unique_ptr<T>{value}; });
    }

    // Returns false when the ring is full. The value is then unchanged, so that the producer can reject it
    // with an overload error.
    bool push(T& value) {
        if (m_queue.write_available() == 0) {
            return false;
        }
        m_queue.push(std::make_unique<T>(std::move(value)).release());
        // Orders the push before the read of the wake flag; pairs with the fence in drain().
        std::atomic_thread_fence(std::memory_order_seq_cst);
        if (!m_wake_pending.exchange(true)) {
            m_wake();
        }
        return true;
    }

    // Consumes at most the values that the ring holds on entry and returns their number. The wake flag is
    // cleared first, so that a push during the drain wakes the consumer again and no value stays unnoticed.
    template <class Consume>
    std::size_t drain(Consume&& consume) {
        m_wake_pending.store(false);
        std::atomic_thread_fence(std::memory_order_seq_cst);
        const std::size_t available = m_queue.read_available();
        for (std::size_t index = 0; index < available; ++index) {
            T* popped = nullptr;
            m_queue.pop(popped);
            const std::unique_ptr<T> value{popped};
            consume(std::move(*value));
        }
        return available;
    }

private:
    boost::lockfree::spsc_queue<T*> m_queue; // owns the values; spsc_queue cannot move them
    Wake m_wake;
    std::atomic<bool> m_wake_pending{false}; // true from a wake-up until the next drain()
};

} // namespace carawayway::base

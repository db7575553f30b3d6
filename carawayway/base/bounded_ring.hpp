// A bounded queue between exactly one producing and one consuming thread, with a wake-up for the consumer.
#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace carawayway::base {

// `Wake` is called by the producer when the consumer may be asleep. A full ring refuses: the producer never
// blocks.
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

    // False when the ring is full; the value is then unchanged, so that the producer can answer it as
    // overload.
    bool push(T& value) {
        if (m_queue.write_available() == 0) {
            return false;
        }
        m_queue.push(std::make_unique<T>(std::move(value)).release());
        // Orders the push before the flag; pairs with the fence in drain().
        std::atomic_thread_fence(std::memory_order_seq_cst);
        if (!m_wake_pending.exchange(true)) {
            m_wake();
        }
        return true;
    }

    // Consumes at most what was in the ring on entry. The wake flag is cleared first, so that a push during
    // the drain causes another wake-up and no value is left behind.
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
    boost::lockfree::spsc_queue<T*> m_queue; // owns what it points to; the library queue cannot move values
    Wake m_wake;
    std::atomic<bool> m_wake_pending{
        false}; // true while a wake-up is on its way and the consumer has not drained
};

} // namespace carawayway::base

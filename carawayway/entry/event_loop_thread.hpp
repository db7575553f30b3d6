// The threads of an entry instance, each with its own event loop. They share no state and exchange messages
// through bounded ring buffers.
#pragma once

#include "carawayway/base/bounded_ring.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <string>
#include <thread>

namespace carawayway::entry {

class event_loop_thread {
public:
    explicit event_loop_thread(std::string name);
    ~event_loop_thread();
    event_loop_thread(const event_loop_thread&) = delete;
    event_loop_thread& operator=(const event_loop_thread&) = delete;
    event_loop_thread(event_loop_thread&&) = delete;
    event_loop_thread& operator=(event_loop_thread&&) = delete;

    boost::asio::io_context& context() { return m_context; }
    const std::string& name() const { return m_name; }

    void start();
    void stop(); // ends the event loop and joins the thread; pending handlers are not run

private:
    std::string m_name;
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work_guard;
    std::jthread m_thread;
};

// Receives messages from one other thread through a ring buffer and passes them in order to `handler`, which
// runs on the receiving thread.
template <class Message>
class inbox {
public:
    inbox(event_loop_thread& receiver, std::size_t capacity, std::function<void(Message)> handler)
        : m_receiver(receiver), m_handler(std::move(handler)),
          m_ring(capacity, [this] { schedule_drain(); }) {}

    // Returns false when the ring buffer is full; the message is then unchanged.
    bool push(Message& message) { return m_ring.push(message); }

private:
    void schedule_drain() {
        boost::asio::post(m_receiver.context(), [this] { m_ring.drain(m_handler); });
    }

    event_loop_thread& m_receiver;
    std::function<void(Message)> m_handler;
    base::bounded_ring<Message> m_ring;
};

} // namespace carawayway::entry

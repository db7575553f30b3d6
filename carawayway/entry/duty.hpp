// One thread of an entry instance with its own event loop. Threads share nothing and exchange messages
// through rings.
#pragma once

#include "carawayway/base/bounded_ring.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <string>
#include <thread>

namespace carawayway::entry {

class duty {
public:
    explicit duty(std::string name);
    ~duty();
    duty(const duty&) = delete;
    duty& operator=(const duty&) = delete;
    duty(duty&&) = delete;
    duty& operator=(duty&&) = delete;

    boost::asio::io_context& context() { return m_context; }
    const std::string& name() const { return m_name; }

    void start();
    void stop(); // ends the loop and joins the thread; pending handlers are dropped

private:
    std::string m_name;
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::jthread m_thread;
};

// A ring into a duty: messages pushed by one other thread are handed to `handler` on the duty's thread, in
// order.
template <class Message>
class inbox {
public:
    inbox(duty& owner, std::size_t capacity, std::function<void(Message)> handler)
        : m_owner(owner), m_handler(std::move(handler)), m_ring(capacity, [this] { wake(); }) {}

    // False when the ring is full; the message is then unchanged.
    bool push(Message& message) { return m_ring.push(message); }

private:
    void wake() {
        boost::asio::post(m_owner.context(), [this] { m_ring.drain(m_handler); });
    }

    duty& m_owner;
    std::function<void(Message)> m_handler;
    base::bounded_ring<Message> m_ring;
};

} // namespace carawayway::entry

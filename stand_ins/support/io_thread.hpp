// A thread that runs the event loop of a stand-in, so that a test can run the stand-in inside its own
// process.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <thread>
#include <utility>

namespace stand_ins {

class io_thread {
public:
    io_thread() : m_work(m_context.get_executor()) {}

    io_thread(const io_thread&) = delete;
    io_thread& operator=(const io_thread&) = delete;
    io_thread(io_thread&&) = delete;
    io_thread& operator=(io_thread&&) = delete;

    ~io_thread() { stop(); }

    boost::asio::any_io_executor executor() { return m_context.get_executor(); }

    void start() {
        m_thread = std::thread([this] { m_context.run(); });
    }

    // Pending handlers are not run. They are destroyed together with this object.
    void stop() {
        m_context.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    // Runs the function on the event loop thread and returns its result. Before start() and after stop(),
    // runs it on the calling thread.
    template <class Function>
    auto run(Function function) -> decltype(function()) {
        if (!m_thread.joinable() || m_thread.get_id() == std::this_thread::get_id()) {
            return function();
        }
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto result = task.get_future();
        boost::asio::post(m_context, [&task] { task(); });
        return result.get();
    }

private:
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

} // namespace stand_ins

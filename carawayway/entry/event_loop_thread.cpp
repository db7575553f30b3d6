// Thread start and stop.
#include "carawayway/entry/event_loop_thread.hpp"

#include <pthread.h>
#include <utility>

namespace carawayway::entry {

event_loop_thread::event_loop_thread(std::string name)
    : m_name(std::move(name)), m_work_guard(m_context.get_executor()) {}

event_loop_thread::~event_loop_thread() {
    stop();
}

void event_loop_thread::start() {
    m_thread = std::jthread([this] { m_context.run(); });
    pthread_setname_np(m_thread.native_handle(), m_name.c_str());
}

void event_loop_thread::stop() {
    m_work_guard.reset();
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

} // namespace carawayway::entry

// Thread start and stop.
#include "carawayway/entry/duty.hpp"

#include <pthread.h>
#include <utility>

namespace carawayway::entry {

duty::duty(std::string name) : m_name(std::move(name)), m_work(m_context.get_executor()) {}

duty::~duty() {
    stop();
}

void duty::start() {
    m_thread = std::jthread([this] { m_context.run(); });
    pthread_setname_np(m_thread.native_handle(), m_name.c_str());
}

void duty::stop() {
    m_work.reset();
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

} // namespace carawayway::entry

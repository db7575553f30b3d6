// The record of one run: what was sent, answered and run, with times since the start of the run.
#pragma once

#include <array>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

class record {
public:
    explicit record(const std::string& file) : m_file(file, std::ios::trunc) {}

    void line(const std::string& text) { line_at(clock::now(), text); }

    // A line about something that happened before.
    void line_at(clock::time_point happened_at, const std::string& text) {
        const std::lock_guard lock(m_mutex);
        std::array<char, 32> time{};
        std::snprintf(time.data(), time.size(), "%9.3f s  ",
                      std::chrono::duration<double>(happened_at - m_started).count());
        m_file << time.data() << text << '\n';
        m_file.flush();
    }

private:
    clock::time_point m_started = clock::now();
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace review

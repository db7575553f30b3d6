// What was sent, answered and run, in the order in which the script saw it.
#pragma once

#include "review/world_2/net.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <mutex>
#include <string>

namespace review {

class record {
public:
    explicit record(const std::string& path) : m_file(std::fopen(path.c_str(), "w")), m_begin(clock::now()) {}
    record(const record&) = delete;
    record(record&&) = delete;
    record& operator=(const record&) = delete;
    record& operator=(record&&) = delete;
    ~record() {
        if (m_file != nullptr) {
            std::fclose(m_file);
        }
    }

    bool is_open() const { return m_file != nullptr; }

    double seconds() const { return std::chrono::duration<double>(clock::now() - m_begin).count(); }

    template <class... Arguments>
    void write(fmt::format_string<Arguments...> text, Arguments&&... arguments) {
        const auto line = fmt::format(text, std::forward<Arguments>(arguments)...);
        const std::lock_guard lock(m_mutex);
        fmt::print(m_file, "{:8.3f} {}\n", seconds(), line);
        std::fflush(m_file);
    }

private:
    std::FILE* m_file;
    clock::time_point m_begin;
    std::mutex m_mutex;
};

} // namespace review

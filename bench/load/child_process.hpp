// Starts and stops a child process of the load tool.
#pragma once

#include "carawayway/base/time.hpp"

#include <string>
#include <sys/types.h>
#include <vector>

namespace carawayway::bench {

class child_process {
public:
    // Starts the program with its output in `log_file`. Throws std::system_error. Call it from the main
    // thread: the child is killed when the thread that started it ends.
    child_process(const std::vector<std::string>& arguments, const std::string& log_file);

    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&&) = delete;
    // Ends the process: SIGTERM, then SIGKILL if it has not ended after a short time.
    ~child_process();

    void send_signal(int number) const;
    // True once the process has ended. Does not block.
    bool ended();
    pid_t id() const { return m_id; }

private:
    pid_t m_id = -1; // -1 after waitpid() has returned it
};

} // namespace carawayway::bench

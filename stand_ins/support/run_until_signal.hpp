// Process setup, waiting for a stop signal and line output, for the main functions of the stand-in programs.
#pragma once

#include <string_view>

namespace stand_ins {

// Blocks SIGINT and SIGTERM in this thread and all threads that it starts later, ignores SIGPIPE, and raises
// the limit of open files, since each connection needs a file descriptor. Must be called before any thread is
// started.
void prepare_process();

// Waits for SIGINT or SIGTERM.
void run_until_signal();

// Prints one line on standard output and flushes it, so that scripts can wait for it.
void print_line(std::string_view line);

} // namespace stand_ins

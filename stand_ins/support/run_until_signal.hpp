// Waits in the main thread of a stand-in program for its end.
#pragma once

#include <string_view>

namespace stand_ins {

// Blocks the stop signals in this thread and in all threads it starts later, and raises the limit of open
// files, since every relayed or served connection takes one. Call it before starting threads.
void prepare_process();

// Returns after SIGINT or SIGTERM.
void run_until_signal();

// Prints one line on standard output and flushes it, so that a waiting script sees it.
void print_line(std::string_view line);

} // namespace stand_ins

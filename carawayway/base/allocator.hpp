// Settings of the allocator of the C library.
#pragma once

namespace carawayway::base {

// Gives large blocks back to the system as soon as they are freed. Without it, the C library keeps blocks of
// up to 32 MB in its heap once the first has been freed, so that the memory of a process grows beyond what it
// holds.
void return_large_blocks_at_once();

} // namespace carawayway::base

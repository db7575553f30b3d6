// Settings of the allocator of the C library.
#include "carawayway/base/allocator.hpp"

#include "carawayway/base/log.hpp"

#include <malloc.h>

namespace carawayway::base {

void return_large_blocks_at_once() {
    constexpr int large_block_bytes = 128 * 1024;
    if (::mallopt(M_MMAP_THRESHOLD, large_block_bytes) == 0) {
        log(log_level::warning, "allocator-unchanged", {{"large_block_bytes", large_block_bytes}});
    }
}

} // namespace carawayway::base

#include "large_blocks.h"

#include <malloc.h>

namespace limpetbridge {

namespace {

/// Blocks from this size on are mappings of their own.
constexpr int LargeBytes = 256 * 1024;
/// Free memory that is kept for small blocks, so that ordinary requests do not
/// change the size of the heap.
constexpr int KeptBytes = 4 * 1024 * 1024;

} // namespace

auto returnLargeBlocks() -> void {
  mallopt(M_MMAP_THRESHOLD, LargeBytes);
  mallopt(M_TRIM_THRESHOLD, KeptBytes);
}

} // namespace limpetbridge

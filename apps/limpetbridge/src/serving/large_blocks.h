/// \file
/// How the allocator treats long bodies.
#ifndef LIMPETBRIDGE_NODE_SERVING_LARGE_BLOCKS_H
#define LIMPETBRIDGE_NODE_SERVING_LARGE_BLOCKS_H

namespace limpetbridge {

/// Lets the allocator give large blocks back to the system as soon as they are
/// freed. Otherwise it keeps them, once it has seen one, among the small ones,
/// and the gaps between long bodies count as memory of the process. For the
/// whole process, before it has callers.
auto returnLargeBlocks() -> void;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_NODE_SERVING_LARGE_BLOCKS_H

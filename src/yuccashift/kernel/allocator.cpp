#include "yuccashift/kernel/allocator.hpp"

#include <cstdlib>
#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace yuccashift {

void returnLargeBuffers()
{
#ifdef __GLIBC__
    // Otherwise the threshold rises with each freed buffer, and later ones stay in the heap.
    constexpr int ownMappingBytes = 256 * 1024;
    ::mallopt(M_MMAP_THRESHOLD, ownMappingBytes);
#endif
}

} // namespace yuccashift

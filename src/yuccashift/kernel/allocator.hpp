#pragma once

namespace yuccashift {

/** Lets the C library's allocator return large buffers to the system as soon as they are freed. To be called before threads are started. */
void returnLargeBuffers();

} // namespace yuccashift

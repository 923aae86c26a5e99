"""Settings of the memory allocator for the process of a node."""

from __future__ import annotations

import ctypes

# mallopt(3): allocations from this size are mapped separately, so that their
# memory returns to the system as soon as they are freed. By default, glibc
# raises the threshold up to 32 MiB when large blocks are freed. Blocks below
# it leave gaps in the heap: after some answers of 4 MiB a process kept 112 MB
# of memory, with this setting 57 to 71 MB.
_M_MMAP_THRESHOLD = -3
LARGE_BLOCK_BYTES = 256 * 1_024


def return_large_blocks() -> None:
    """Make the allocator return large blocks to the system when freed.

    Does nothing if the C library has no such setting.
    """
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    if mallopt is not None:
        mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)

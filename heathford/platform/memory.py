"""How much memory clients' requests and answers may take in one front node."""

import os
import resource
from pathlib import Path

PROCESS_MEMORY_FILE = Path("/proc/self/statm")  # counts pages; the second number is the resident ones
BYTES_PER_MB = 1 << 20
# Of the memory that is left after the start. The rest is for what is not counted: answers of engines, garbage
# until it is collected, lists of engines that grow, gaps between allocations.
REQUEST_SHARE = 0.5
MIN_REQUEST_BYTES = 2 * BYTES_PER_MB  # a front node serves even where its limit leaves nothing
DEFAULT_REQUEST_BYTES = 32 * BYTES_PER_MB  # where the configuration tells no limit


def resident_bytes() -> int:
    """Return the memory that this process holds, or held at most where the system tells only that."""
    try:
        return int(PROCESS_MEMORY_FILE.read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


def request_bytes(memory_mb: float | None, held: int) -> int:
    """Return the bytes that requests and answers may take.

    memory_mb: the limit of the process, if it has one; held: bytes that it holds without any request.
    """
    if memory_mb is None:
        return DEFAULT_REQUEST_BYTES
    return max(MIN_REQUEST_BYTES, int(REQUEST_SHARE * (memory_mb * BYTES_PER_MB - held)))

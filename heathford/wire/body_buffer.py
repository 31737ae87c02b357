"""Collects a body that arrives in parts; no I/O."""

BLOCK_BYTES = 8_192  # up to which small parts are joined


class BodyBuffer:
    """The parts of one body, in blocks.

    Blocks don't grow beyond BLOCK_BYTES, and larger parts are kept as they are. A buffer that grows with the
    body is moved again and again; those of hundreds of slow clients leave gaps in the heap as large as what
    they hold.
    """

    def __init__(self) -> None:
        self.blocks: list[bytes | bytearray] = []
        self.size = 0

    def __len__(self) -> int:
        return self.size

    def __bytes__(self) -> bytes:
        """Return the whole body."""
        return b"".join(self.blocks)

    def append(self, part: bytes) -> None:
        """Add the next part."""
        self.size += len(part)
        if len(part) > BLOCK_BYTES // 2:
            self.blocks.append(part)
            return
        last = self.blocks[-1] if self.blocks else b""
        if isinstance(last, bytearray) and len(last) + len(part) <= BLOCK_BYTES:
            last += part
        else:
            self.blocks.append(bytearray(part))

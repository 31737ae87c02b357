"""WebSocket frames as a client writes them, right and wrong; shares no code with the front. RFC 6455,
7692."""

import base64
import os
import random
import struct
import zlib
from typing import Any

Op = dict[str, Any]
Case = list[Op]

KEY = base64.b64encode(bytes(16)).decode()


def handshake(host: str, deflate: bool) -> bytes:
    more = "Sec-WebSocket-Extensions: permessage-deflate; client_max_window_bits\r\n" if deflate else ""
    return (
        f"GET /v1/sessions HTTP/1.1\r\nHost: {host}\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
        f"Sec-WebSocket-Key: {KEY}\r\nSec-WebSocket-Version: 13\r\n{more}\r\n"
    ).encode()


def frame(
    opcode: int,
    data: bytes,
    final: bool = True,
    rsv: int = 0,
    masked: bool = True,
    length: bytes | None = None,
) -> bytes:
    """One frame; `length`: the seven bits and what follows them, where they are to be wrong."""
    if length is None:
        size = len(data)
        if size < 126:
            length = bytes([size])
        elif size < 65_536:
            length = b"\x7e" + struct.pack("!H", size)
        else:
            length = b"\x7f" + struct.pack("!Q", size)
    second = length[0] | (0x80 if masked else 0)
    head = bytes([(0x80 if final else 0) | rsv << 4 | opcode, second]) + length[1:]
    if not masked:
        return head + data
    mask = os.urandom(4)
    return head + mask + bytes(b ^ mask[n % 4] for n, b in enumerate(data))


def deflated(data: bytes) -> bytes:
    packer = zlib.compressobj(wbits=-15)
    return (packer.compress(data) + packer.flush(zlib.Z_SYNC_FLUSH))[:-4]


def message(op: Op, text: bytes, deflate: bool) -> bytes:
    """A text message in fragments, with pings between them."""
    data, rsv = text, 0
    if deflate and op.get("deflate"):
        data, rsv = deflated(text), 4
    parts = max(1, min(op.get("parts", 1), max(1, len(data))))
    step = -(-len(data) // parts) if data else 1
    pieces = [data[n : n + step] for n in range(0, len(data), step)] or [b""]
    out = b""
    for n, piece in enumerate(pieces):
        out += frame(0 if n else 1, piece, n == len(pieces) - 1, 0 if n else rsv)
        if n < len(pieces) - 1:
            out += frame(9, b"between") * op.get("pings", 0)
    return out


# What breaks the protocol, and the close codes that it may be answered by.
def violation(op: Op, deflate: bool) -> tuple[bytes, set[int]]:
    kind, n = op["do"], op.get("n", 0)
    if kind == "rsv":
        rsv = 1 + n % 7
        if deflate and rsv == 4:
            rsv = 2
        return frame(1, b"x", rsv=rsv), {1002}
    if kind == "rsv on control":
        return frame(9, b"", rsv=4), {1002}
    if kind == "rsv on continuation":
        return frame(1, b"a", final=False) + frame(0, b"b", rsv=4), {1002}
    if kind == "opcode":
        return frame((3, 4, 5, 6, 7, 11, 12, 13, 14, 15)[n % 10], b"x"), {1002}
    if kind == "unmasked":
        return frame(1, b"{}", masked=False), {1002}
    if kind == "long control":
        return frame(8 + n % 3, b"x" * (126 + n % 300)), {1002}
    if kind == "control in parts":
        return frame(8 + n % 3, b"", final=False), {1002}
    if kind == "stray continuation":
        return frame(0, b"x"), {1002}
    if kind == "message in message":
        return frame(1, b"x", final=False) + frame(1 + n % 2, b"y"), {1002}
    if kind == "length too long":
        data = b"x" * (n % 126)
        return frame(1, data, length=b"\x7e" + struct.pack("!H", len(data))), {1002}
    if kind == "length top bit":
        return frame(1, b"", length=b"\x7f" + struct.pack("!Q", 1 << 63)), {1002}
    if kind == "huge":
        return frame(1, b"", length=b"\x7f" + struct.pack("!Q", (1 << 33) + n)), {1009}
    if kind == "huge in parts":
        return frame(1, b"x" * 60_000, final=False) + frame(0, b"y" * 60_000), {1009}
    if kind == "bad text":
        bad = (b"\xff", b"\xc3", b"a\xed\xa0\x80", b"\xf8\x88\x80\x80\x80", b"\xc0\xaf")[n % 5]
        return frame(1, bad[:1], final=False) + frame(0, bad[1:]), {1007}
    if kind == "deflate garbage":
        return frame(1, b"\xff" * (1 + n % 50), rsv=4), {1007} if deflate else {1002}
    if kind == "deflate bomb":
        return frame(1, deflated(bytes(2_000_000)), rsv=4), {1009} if deflate else {1002}
    if kind == "half close code":
        return frame(8, b"\x03"), {1002}
    if kind == "close code":
        code = (0, 999, 1004, 1005, 1006, 1015, 1016, 2000, 2999, 5000, 65_535)[n % 11]
        return frame(8, struct.pack("!H", code)), {1002}
    if kind == "bad close reason":
        return frame(8, struct.pack("!H", 1000) + b"\xff\xfe"), {1007}
    code = (1000, 1001, 1002, 1003, 1007, 1011, 3000, 4999)[n % 8]  # orderly: answered by its own
    return frame(8, struct.pack("!H", code) + b"bye"), {code}


VIOLATIONS = (
    "rsv",
    "rsv on control",
    "rsv on continuation",
    "opcode",
    "unmasked",
    "long control",
    "control in parts",
    "stray continuation",
    "message in message",
    "length too long",
    "length top bit",
    "huge",
    "huge in parts",
    "bad text",
    "deflate garbage",
    "deflate bomb",
    "half close code",
    "close code",
    "bad close reason",
    "close",
)
ORDINARY = ("ask", "ask", "ask", "cancel", "ping", "pong", "nonsense", "binary")


def random_case(chance: random.Random) -> Case:
    """Any number of ordinary steps, then at most one violation, with junk behind it."""
    case: Case = [{"do": "open", "deflate": chance.random() < 0.5}]
    for _ in range(chance.randrange(8)):
        case.append(
            {
                "do": chance.choice(ORDINARY),
                "parts": chance.choice((1, 1, 2, 3, 17)),
                "n": chance.randrange(200),
                "pings": chance.randrange(3),
                "deflate": chance.random() < 0.7,
            }
        )
    if chance.random() < 0.8:
        case.append(
            {
                "do": chance.choice(VIOLATIONS),
                "n": chance.randrange(10_000),
                "junk": chance.choice((0, 0, 5, 3000)),
            }
        )
    if chance.random() < 0.15:
        case.append({"do": "cut", "n": chance.randrange(400)})
    return case

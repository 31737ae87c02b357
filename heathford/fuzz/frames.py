"""Encode valid and invalid WebSocket frames of a client (RFC 6455, RFC 7692).

Shares no code with the front node.
"""

import base64
import os
import random
import struct
import zlib
from typing import Any

Step = dict[str, Any]  # its kind, under "do", and its parameters
Case = list[Step]  # begins with an "open" step

KEY = base64.b64encode(bytes(16)).decode()  # Sec-WebSocket-Key


def handshake(host: str, deflate: bool) -> bytes:
    """Return a client's opening handshake; deflate: offer permessage-deflate."""
    extensions = "Sec-WebSocket-Extensions: permessage-deflate; client_max_window_bits\r\n" if deflate else ""
    return (
        f"GET /v1/sessions HTTP/1.1\r\nHost: {host}\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
        f"Sec-WebSocket-Key: {KEY}\r\nSec-WebSocket-Version: 13\r\n{extensions}\r\n"
    ).encode()


def frame(
    opcode: int,
    data: bytes,
    final: bool = True,
    rsv: int = 0,
    masked: bool = True,
    length: bytes | None = None,
) -> bytes:
    """Encode one frame; length: the length field, if it is to differ from the length of the data."""
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


def deflate_message(data: bytes) -> bytes:
    """Compress the payload of a message as RFC 7692 says."""
    compressor = zlib.compressobj(wbits=-15)
    return (compressor.compress(data) + compressor.flush(zlib.Z_SYNC_FLUSH))[:-4]


def message(step: Step, text: bytes, deflate: bool) -> bytes:
    """Encode a text message in as many fragments as the step says, with pings between them."""
    data, rsv = text, 0
    if deflate and step.get("deflate"):
        data, rsv = deflate_message(text), 4
    parts = max(1, min(step.get("parts", 1), max(1, len(data))))
    piece_size = -(-len(data) // parts) if data else 1
    pieces = [data[n : n + piece_size] for n in range(0, len(data), piece_size)] or [b""]
    frames = b""
    for n, piece in enumerate(pieces):
        frames += frame(0 if n else 1, piece, n == len(pieces) - 1, 0 if n else rsv)
        if n < len(pieces) - 1:
            frames += frame(9, b"between") * step.get("pings", 0)
    return frames


def violation(step: Step, deflate: bool) -> tuple[bytes, set[int]]:
    """Return frames that break the protocol, and the close codes that may answer them.

    The step of kind "close" is an orderly close instead, which is answered by its own code.
    """
    kind, n = step["do"], step.get("n", 0)
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
        return frame(1, deflate_message(bytes(2_000_000)), rsv=4), {1009} if deflate else {1002}
    if kind == "half close code":
        return frame(8, b"\x03"), {1002}
    if kind == "close code":
        code = (0, 999, 1004, 1005, 1006, 1015, 1016, 2000, 2999, 5000, 65_535)[n % 11]
        return frame(8, struct.pack("!H", code)), {1002}
    if kind == "bad close reason":
        return frame(8, struct.pack("!H", 1000) + b"\xff\xfe"), {1007}
    code = (1000, 1001, 1002, 1003, 1007, 1011, 3000, 4999)[n % 8]  # an orderly close
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
# Valid steps and invalid messages that leave the session open; "ask" is drawn most often.
ORDINARY = ("ask", "ask", "ask", "cancel", "ping", "pong", "nonsense", "binary")


def random_case(rng: random.Random) -> Case:
    """Return up to 7 ordinary steps, then at most one violation followed by junk, then maybe a cut-off."""
    case: Case = [{"do": "open", "deflate": rng.random() < 0.5}]
    for _ in range(rng.randrange(8)):
        case.append(
            {
                "do": rng.choice(ORDINARY),
                "parts": rng.choice((1, 1, 2, 3, 17)),
                "n": rng.randrange(200),
                "pings": rng.randrange(3),
                "deflate": rng.random() < 0.7,
            }
        )
    if rng.random() < 0.8:
        case.append(
            {
                "do": rng.choice(VIOLATIONS),
                "n": rng.randrange(10_000),
                "junk": rng.choice((0, 0, 5, 3000)),
            }
        )
    if rng.random() < 0.15:
        case.append({"do": "cut", "n": rng.randrange(400)})
    return case

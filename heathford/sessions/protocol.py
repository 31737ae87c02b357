"""RFC 6455 as Tornado speaks it, with every check of the RFC and the close code that it names.

Tornado leaves some checks out (masks, lengths written longer than need be, close codes), ends many
violations without a close frame, and forgets that a message is compressed when a control frame comes between
its fragments. Only what reads frames is replaced here; handshake, compression and writing are Tornado's.
"""

import zlib
from asyncio import Future
from typing import Any

from tornado.util import _websocket_mask
from tornado.websocket import WebSocketProtocol13

PROTOCOL, DATA, TOO_BIG = 1002, 1007, 1009  # close codes
READ_BYTES = 65_536  # bytes thrown away at once after a failure
COMPRESS_FROM = 512  # bytes: below, deflate costs more time than it saves on the way
DEFLATE = frozenset(
    {
        "server_no_context_takeover",
        "client_no_context_takeover",
        "server_max_window_bits",
        "client_max_window_bits",
    }
)
MOST_CONTROL = 125  # bytes


class ProtocolError(Exception):
    def __init__(self, code: int, why: str) -> None:
        super().__init__(why)
        self.code = code


def close_code_allowed(code: int) -> bool:
    """RFC 6455, 7.4: those it defines for use on the wire, and the ranges for registered and private use."""
    return code in (1000, 1001, 1002, 1003, *range(1007, 1015)) or 3000 <= code < 5000


class StrictProtocol(WebSocketProtocol13):
    failed = False
    message_opcode = 0
    message_compressed = False

    # Handshake.

    def _parse_extensions_header(self, headers: Any) -> list[tuple[str, dict[str, Any]]]:
        """Takes up a deflate offer that can be, and asks both sides to keep no dictionary between messages: a
        kept one costs some 300 KB a session, idle or not."""
        taken = []
        for name, offered in super()._parse_extensions_header(headers):
            bits: Any = offered.get("server_max_window_bits", "15")
            if (
                name == "permessage-deflate"
                and set(offered) <= DEFLATE
                and str(bits).isdigit()
                and (9 <= int(bits) <= 15)
                and self.client_bits_good(offered)
            ):
                agreed: dict[str, Any] = {
                    "server_no_context_takeover": None,
                    "client_no_context_takeover": None,
                }
                if "server_max_window_bits" in offered:
                    agreed["server_max_window_bits"] = bits
                taken.append((name, agreed))
                break
        return taken

    @staticmethod
    def client_bits_good(offered: dict[str, Any]) -> bool:
        bits: Any = offered.get("client_max_window_bits")
        return bits is None or (str(bits).isdigit() and 8 <= int(bits) <= 15)

    # Reading.

    def fail(self, failure: ProtocolError) -> None:
        """Says why and reads on without listening, so that the other side gets the close frame: a socket
        closed over unread bytes would be reset, and the frame lost."""
        self.failed = True
        self._fragmented_message_buffer = None
        self.close(failure.code, str(failure))

    async def _receive_frame(self) -> None:
        if self.failed:
            await self.stream.read_bytes(READ_BYTES, partial=True)
            return
        try:
            handled = await self.one_frame()
        except ProtocolError as failure:
            self.fail(failure)
            return
        if handled is not None:
            await handled

    async def one_frame(self) -> "Future[None] | None":
        first, second = await self._read_bytes(2)
        final, opcode, length = bool(first & self.FIN), first & self.OPCODE_MASK, second & 0x7F
        reserved, control = first & self.RSV_MASK, opcode >= 8
        compressed = False
        if self._decompressor is not None and opcode in (1, 2) and reserved & self.RSV1:
            compressed, reserved = True, reserved & ~self.RSV1
        if reserved:
            raise ProtocolError(PROTOCOL, "a reserved bit is set")
        if opcode not in (0, 1, 2, 8, 9, 10):
            raise ProtocolError(PROTOCOL, "a reserved opcode")
        if not second & 0x80:
            raise ProtocolError(PROTOCOL, "a frame without a mask")
        if control and (length > MOST_CONTROL or not final):
            raise ProtocolError(PROTOCOL, "a control frame in parts or too long")
        if opcode == 0 and self._fragmented_message_buffer is None:
            raise ProtocolError(PROTOCOL, "nothing to continue")
        if opcode in (1, 2) and self._fragmented_message_buffer is not None:
            raise ProtocolError(PROTOCOL, "a message inside another")
        length = await self.whole_length(length)
        so_far = len(self._fragmented_message_buffer or b"") if not control else 0
        if length + so_far > self.params.max_message_size:
            raise ProtocolError(TOO_BIG, "message too big")
        mask = await self._read_bytes(4)
        data = _websocket_mask(mask, await self._read_bytes(length)) if length else b""
        if control:
            return self.control_frame(opcode, data)
        if opcode:
            self.message_opcode, self.message_compressed = opcode, compressed
            if final:
                return self.message(data)
            self._fragmented_message_buffer = bytearray(data)
            return None
        buffer = self._fragmented_message_buffer
        assert buffer is not None
        buffer.extend(data)
        if not final:
            return None
        self._fragmented_message_buffer = None
        return self.message(bytes(buffer))

    async def whole_length(self, length: int) -> int:
        if length < 126:
            return length
        size, least = (2, 126) if length == 126 else (8, 65_536)
        whole = int.from_bytes(await self._read_bytes(size))
        if whole < least or whole >= 1 << 63:
            raise ProtocolError(PROTOCOL, "a length not written in the fewest bytes")
        return whole

    def message(self, data: bytes) -> "Future[None] | None":
        if self.message_compressed:
            assert self._decompressor is not None
            try:
                data = self._decompressor.decompress(data)
            except zlib.error:
                raise ProtocolError(DATA, "compressed data that can't be read") from None
            except Exception:  # Tornado's own, for what grows beyond the bound
                raise ProtocolError(TOO_BIG, "message too big after decompression") from None
        if self.message_opcode == 1:
            try:
                return self._run_callback(self.handler.on_message, data.decode())
            except UnicodeDecodeError:
                raise ProtocolError(DATA, "text that is not UTF-8") from None
        return self._run_callback(self.handler.on_message, data)

    def control_frame(self, opcode: int, data: bytes) -> "Future[None] | None":
        if opcode == 9:
            self._send_pong(data)
            return self._run_callback(self.handler.on_ping, data)
        if opcode == 10:
            return self._run_callback(self.handler.on_pong, data)
        if len(data) == 1:
            raise ProtocolError(PROTOCOL, "a close frame with half a code")
        if data:
            code = int.from_bytes(data[:2])
            if not close_code_allowed(code):
                raise ProtocolError(PROTOCOL, "a close code that may not be sent")
            try:
                reason = data[2:].decode()
            except UnicodeDecodeError:
                raise ProtocolError(DATA, "a close reason that is not UTF-8") from None
            self.close_code, self.close_reason = code, reason or None
        self.client_terminated = True
        self.close(self.close_code)
        return None

    # Writing.

    def write_text(self, data: bytes) -> "Future[None]":
        """As write_message, without a task for each; raises StreamClosedError."""
        flags = 0
        if self._compressor and len(data) >= COMPRESS_FROM:
            data, flags = self._compressor.compress(data), self.RSV1
        return self._write_frame(True, 0x1, data, flags)

    @property
    def unsent(self) -> int:
        """Bytes written that the other side's machine has not taken."""
        return self.stream._total_write_index - self.stream._total_write_done_index

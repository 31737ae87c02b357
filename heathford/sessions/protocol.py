"""Tornado's implementation of RFC 6455, extended to every check of the RFC and the close codes that it names.

Tornado omits some checks (masks, lengths not in their shortest form, close codes), ends the connection after
many violations without a close frame, and forgets that a message is compressed if a control frame arrives
between its fragments. Only the reading of frames is replaced here; handshake, compression and writing are
Tornado's.
"""

import zlib
from asyncio import Future
from typing import Any

from tornado.util import _websocket_mask
from tornado.websocket import WebSocketProtocol13

CLOSE_PROTOCOL_ERROR, CLOSE_INVALID_DATA, CLOSE_TOO_BIG = 1002, 1007, 1009
READ_BYTES = 65_536  # discarded at once after a failure
MIN_COMPRESSED_BYTES = 512  # for shorter messages, deflate takes more time than it saves in transfer
DEFLATE_PARAMETERS = frozenset(
    {
        "server_no_context_takeover",
        "client_no_context_takeover",
        "server_max_window_bits",
        "client_max_window_bits",
    }
)
MAX_CONTROL_BYTES = 125  # of the payload of a control frame


class ProtocolError(Exception):
    """A violation of the RFC. The text is sent as the reason of the close frame with the given code."""

    def __init__(self, code: int, why: str) -> None:
        super().__init__(why)
        self.code = code


def close_code_allowed(code: int) -> bool:
    """Return whether a close code may be sent (RFC 6455, section 7.4).

    These are the codes defined for use on the wire and the ranges for registered and private use.
    """
    return code in (1000, 1001, 1002, 1003, *range(1007, 1015)) or 3000 <= code < 5000


class StrictProtocol(WebSocketProtocol13):
    """The server side of one connection; after a violation it closes with the code that the RFC names."""

    failed = False
    message_opcode = 0
    message_compressed = False

    # Handshake.

    def _parse_extensions_header(self, headers: Any) -> list[tuple[str, dict[str, Any]]]:
        """Accept the first valid deflate offer, without context takeover in either direction.

        A dictionary kept between messages would cost about 300 KB per session, idle or not.
        """
        accepted = []
        for name, offered in super()._parse_extensions_header(headers):
            bits: Any = offered.get("server_max_window_bits", "15")
            if (
                name == "permessage-deflate"
                and set(offered) <= DEFLATE_PARAMETERS
                and str(bits).isdigit()
                and (9 <= int(bits) <= 15)
                and self.valid_client_bits(offered)
            ):
                agreed: dict[str, Any] = {
                    "server_no_context_takeover": None,
                    "client_no_context_takeover": None,
                }
                if "server_max_window_bits" in offered:
                    agreed["server_max_window_bits"] = bits
                accepted.append((name, agreed))
                break
        return accepted

    @staticmethod
    def valid_client_bits(offered: dict[str, Any]) -> bool:
        bits: Any = offered.get("client_max_window_bits")
        return bits is None or (str(bits).isdigit() and 8 <= int(bits) <= 15)

    # Reading.

    def fail_connection(self, error: ProtocolError) -> None:
        """Send a close frame, then read and discard further data.

        A socket closed with unread data would be reset, and the close frame lost.
        """
        self.failed = True
        self._fragmented_message_buffer = None
        self.close(error.code, str(error))

    async def _receive_frame(self) -> None:
        if self.failed:
            await self.stream.read_bytes(READ_BYTES, partial=True)
            return
        try:
            handled = await self.read_frame()
        except ProtocolError as error:
            self.fail_connection(error)
            return
        if handled is not None:
            await handled

    async def read_frame(self) -> "Future[None] | None":
        """Read and handle one frame; return what to wait for, if anything. Raises ProtocolError."""
        first, second = await self._read_bytes(2)
        final, opcode, length = bool(first & self.FIN), first & self.OPCODE_MASK, second & 0x7F
        reserved, control = first & self.RSV_MASK, opcode >= 8
        compressed = False
        if self._decompressor is not None and opcode in (1, 2) and reserved & self.RSV1:
            compressed, reserved = True, reserved & ~self.RSV1
        if reserved:
            raise ProtocolError(CLOSE_PROTOCOL_ERROR, "a reserved bit is set")
        if opcode not in (0, 1, 2, 8, 9, 10):
            raise ProtocolError(CLOSE_PROTOCOL_ERROR, "a reserved opcode")
        if not second & 0x80:
            raise ProtocolError(CLOSE_PROTOCOL_ERROR, "a frame without a mask")
        if control and (length > MAX_CONTROL_BYTES or not final):
            raise ProtocolError(CLOSE_PROTOCOL_ERROR, "a control frame in parts or too long")
        if opcode == 0 and self._fragmented_message_buffer is None:
            raise ProtocolError(CLOSE_PROTOCOL_ERROR, "nothing to continue")
        if opcode in (1, 2) and self._fragmented_message_buffer is not None:
            raise ProtocolError(CLOSE_PROTOCOL_ERROR, "a message inside another")
        length = await self.read_length(length)
        so_far = len(self._fragmented_message_buffer or b"") if not control else 0
        if length + so_far > self.params.max_message_size:
            raise ProtocolError(CLOSE_TOO_BIG, "message too big")
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

    async def read_length(self, length: int) -> int:
        """Return the payload length, given its first 7 bits. Raises ProtocolError."""
        if length < 126:
            return length
        size, minimum = (2, 126) if length == 126 else (8, 65_536)
        extended = int.from_bytes(await self._read_bytes(size))
        if extended < minimum or extended >= 1 << 63:
            raise ProtocolError(CLOSE_PROTOCOL_ERROR, "a length not written in the fewest bytes")
        return extended

    def message(self, data: bytes) -> "Future[None] | None":
        """Pass a complete message to the handler. Raises ProtocolError."""
        if self.message_compressed:
            assert self._decompressor is not None
            try:
                data = self._decompressor.decompress(data)
            except zlib.error:
                raise ProtocolError(CLOSE_INVALID_DATA, "compressed data that can't be read") from None
            except Exception:  # Tornado's private error for data that exceeds the size limit
                raise ProtocolError(CLOSE_TOO_BIG, "message too big after decompression") from None
        if self.message_opcode == 1:
            try:
                return self._run_callback(self.handler.on_message, data.decode())
            except UnicodeDecodeError:
                raise ProtocolError(CLOSE_INVALID_DATA, "text that is not UTF-8") from None
        return self._run_callback(self.handler.on_message, data)

    def control_frame(self, opcode: int, data: bytes) -> "Future[None] | None":
        """Handle a close, ping or pong frame. Raises ProtocolError."""
        if opcode == 9:
            self._send_pong(data)
            return self._run_callback(self.handler.on_ping, data)
        if opcode == 10:
            return self._run_callback(self.handler.on_pong, data)
        if len(data) == 1:
            raise ProtocolError(CLOSE_PROTOCOL_ERROR, "a close frame with half a code")
        if data:
            code = int.from_bytes(data[:2])
            if not close_code_allowed(code):
                raise ProtocolError(CLOSE_PROTOCOL_ERROR, "a close code that may not be sent")
            try:
                reason = data[2:].decode()
            except UnicodeDecodeError:
                raise ProtocolError(CLOSE_INVALID_DATA, "a close reason that is not UTF-8") from None
            self.close_code, self.close_reason = code, reason or None
        self.client_terminated = True
        self.close(self.close_code)
        return None

    # Writing.

    def write_text(self, data: bytes) -> "Future[None]":
        """Write a text message like write_message, but without a task for each. Raises StreamClosedError."""
        flags = 0
        if self._compressor and len(data) >= MIN_COMPRESSED_BYTES:
            data, flags = self._compressor.compress(data), self.RSV1
        return self._write_frame(True, 0x1, data, flags)

    @property
    def unsent(self) -> int:
        """Bytes written that the kernel has not accepted for sending yet."""
        return self.stream._total_write_index - self.stream._total_write_done_index

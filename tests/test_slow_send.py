"""The deadline in a request's head must not be out of date when the last byte has arrived.

The head of a request states how long the front node will wait, and leaves at once; the last byte of a 250 kB
prompt leaves when the engine has read the rest. Without a bound on the time from the first byte of an attempt
to its last, the engine believes in more time than its client has left. Seen with soak seed 9333: the bytes
took 0.843 s, and the deadline was 0.842 s too late, where 0.15 s are allowed.
"""

import asyncio
import socket
from pathlib import Path
from time import monotonic

import pytest
from raw_peers import FrontSetup, RawEngine, answer_releases, decode, prefill, request, run_scenario
from test_attempt_left_in_kernel import is_whole

from heathford.standin.platform import PREFILL_RESPONSE

LARGE = 250_000  # bytes of a prompt, within the 256 KiB of a body
SMALL_BUFFER = 4_096  # bytes
SLACK = 0.15  # s by which the stated deadline may exceed the time left
READ_INTERVAL = 0.01  # s between two reads of the slow engine
READ_BYTES = 4_000  # of one read: a prompt takes some 0.6 s


def with_small_buffer(engine: RawEngine) -> RawEngine:
    """Make the engine's receive buffer small."""
    engine.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    return engine


@pytest.mark.parametrize("role", ["prefill", "decode"])
@pytest.mark.parametrize("request_class", ["chat", "booking"])
def test_no_attempt_arrives_long_after_its_deadline_was_stated(
    tmp_path: Path, role: str, request_class: str
) -> None:
    """The attempt is given up while its last byte is in this process: it has not run and may be retried."""
    engines = (
        [with_small_buffer(prefill()), decode()]
        if role == "prefill"
        else [prefill(), with_small_buffer(decode())]
    )
    slow_index = 0 if role == "prefill" else 1

    async def read_slowly(engine: RawEngine, transfer_times: list[float]) -> None:
        sock, _ = await asyncio.get_running_loop().sock_accept(engine.listener)
        started_at, received = monotonic(), b""
        while part := await asyncio.get_running_loop().sock_recv(sock, READ_BYTES):
            received += part
            head, end, body = received.partition(b"\r\n\r\n")
            if end and len(body) == int(head.rpartition(b"Content-Length: ")[2].split(b"\r\n")[0]):
                transfer_times.append(monotonic() - started_at)
            await asyncio.sleep(READ_INTERVAL)

    async def scenario(setup: FrontSetup) -> None:
        transfer_times: list[float] = []
        setup.engines[slow_index].listener.setblocking(False)
        read_task = asyncio.create_task(read_slowly(setup.engines[slow_index], transfer_times))
        client = setup.client()
        client.send(request("c0", request_class=request_class, size=LARGE))
        if slow_index:
            release_task = asyncio.create_task(answer_releases(setup.engines[0]))
            connection = await setup.engines[0].wait_for_request()
            while not is_whole(connection):
                connection.read_available()
                await asyncio.sleep(0.002)
            connection.sock.sendall(PREFILL_RESPONSE)
        await asyncio.sleep(1.0)
        read_task.cancel()
        if slow_index:
            release_task.cancel()
        assert not [late for late in transfer_times if late > SLACK], transfer_times

    run_scenario(tmp_path, scenario, *engines)

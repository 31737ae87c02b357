"""CPU for each event relayed between two connections, by Tornado's streams and by asyncio's transports.

python -m benchmarks.relay_cost [--events 20000]
"""

import argparse
import asyncio
import socket
import time
from multiprocessing import Process

from tornado.iostream import IOStream, StreamClosedError

EVENT = b"x" * 120  # bytes: as an engine's event
PAUSE = 1e-4  # s between two, so that each comes alone


def feed(server: socket.socket, events: int) -> None:
    peer = server.accept()[0]
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for _ in range(events):
        peer.sendall(EVENT)
        time.sleep(PAUSE)
    peer.close()


def drain(server: socket.socket) -> None:
    peer = server.accept()[0]
    while peer.recv(65536):
        pass


async def by_streams(source: tuple[str, int], target: tuple[str, int]) -> float:
    reading, writing = IOStream(socket.socket()), IOStream(socket.socket())
    await reading.connect(source)
    await writing.connect(target)
    begun = time.process_time()
    try:
        while True:
            _ = writing.write(await reading.read_bytes(65536, partial=True))
    except StreamClosedError:
        return time.process_time() - begun


async def by_transports(source: tuple[str, int], target: tuple[str, int]) -> float:
    loop, over = asyncio.get_running_loop(), asyncio.Event()
    writing, _ = await loop.create_connection(asyncio.Protocol, *target)

    class Relay(asyncio.Protocol):
        def data_received(self, data: bytes) -> None:
            writing.write(data)

        def connection_lost(self, problem: Exception | None) -> None:
            over.set()

    await loop.create_connection(Relay, *source)
    begun = time.process_time()
    await over.wait()
    return time.process_time() - begun


def main() -> None:
    options = argparse.ArgumentParser()
    options.add_argument("--events", type=int, default=20_000)
    events = options.parse_args().events
    for name, relay in (("streams", by_streams), ("transports", by_transports)):
        source, target = (socket.create_server(("127.0.0.1", 0)) for _ in range(2))
        others = [Process(target=feed, args=(source, events)), Process(target=drain, args=(target,))]
        for other in others:
            other.start()
        spent = asyncio.run(relay(source.getsockname(), target.getsockname()))
        print(f"{name}: {1e6 * spent / events:.1f} us an event")
        others[0].join()
        others[1].terminate()


if __name__ == "__main__":
    main()

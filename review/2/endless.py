"""Bad clients whose request never ends: python endless.py PORT CLIENTS SECONDS.

Each sends the head of a chunked request, the last chunk, and then header fields without end (the trailer
section, RFC 9112, 7.1.2), at full speed; when it is turned away it comes again at once. Each prints how long
each of its connections lasted.
"""

import socket
import sys
import threading
import time

HEAD = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Class: status\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n"
)
FIELDS = b"a:\r\n" * 65_536


def send_without_end(number: int, port: int, stop_at: float) -> None:
    while time.monotonic() < stop_at:
        began, sent = time.monotonic(), 0
        try:
            with socket.create_connection(("127.0.0.1", port)) as sock:
                sock.sendall(HEAD)
                while time.monotonic() < stop_at:
                    sock.sendall(FIELDS)
                    sent += len(FIELDS)
                ending = "still neither answered nor closed"
        except OSError as error:
            ending = f"closed by the front node: {error}"
            time.sleep(0.05)
        lasted = time.monotonic() - began
        print(f"bad client {number}: {sent / 1e6:.0f} MB in {lasted:.1f} s, {ending}", flush=True)


def main() -> None:
    port, clients, seconds = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
    stop_at = time.monotonic() + seconds
    threads = [
        threading.Thread(target=send_without_end, args=(number, port, stop_at)) for number in range(clients)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    main()

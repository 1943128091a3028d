"""A bad client as a process of its own: sends a body of 60 MB at full speed, in chunks of a byte.

Called with the node's port and a number that tells it from others. Ends when it has an answer or a
close, or when all is sent.
"""

from __future__ import annotations

import select
import socket
import sys

BODY_BYTES = 60_000_000  # as it is sent, so with the framing of its chunks
PIECE = b"1\r\na\r\n" * 40_000


def main(port: int, number: int) -> None:
    with socket.create_connection(("127.0.0.1", port), 60.0) as sock:
        sock.sendall(
            b"POST /credit/7f3a HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: bad-%d\r\n"
            b"X-Priority-Class: credit\r\nX-Timeout-Ms: 3000\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n" % number
        )
        sent = 0
        while sent < BODY_BYTES and not select.select([sock], [], [], 0)[0]:
            sock.sendall(PIECE)
            sent += len(PIECE)
        sock.recv(4096)


if __name__ == "__main__":
    try:
        main(int(sys.argv[1]), int(sys.argv[2]))
    except OSError as err:
        print(f"{type(err).__name__}: {err}")

"""Helpers for sockets and threads.

Owns nothing: each socket and thread belongs to the caller.
"""

import errno
import socket
import struct
import threading
from collections.abc import Callable
from contextlib import suppress

MICROSECONDS_PER_SECOND = 1_000_000
TCP_INFO_RECEIVED = struct.Struct("128xQ")  # tcpi_bytes_received of struct tcp_info: tcp(7), Linux 4.1 on


def timeval(microseconds: int) -> bytes:
    """Return a time in the form of the socket options SO_SNDTIMEO and SO_RCVTIMEO."""
    return struct.pack("ll", *divmod(microseconds, MICROSECONDS_PER_SECOND))


def received_bytes(sock: socket.socket) -> int:
    """Return how many bytes the system has received on a TCP connection, read or not; an end counts as one.

    Raises:
        OSError: the system has no memory for the answer, or the connection is gone.
    """
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_RECEIVED.size)
    count: int = TCP_INFO_RECEIVED.unpack(info)[0]
    return count


def shut_down(sock: socket.socket, how: int) -> None:
    """Shut a connection down in one direction or both; ignore one that has ended already."""
    with suppress(OSError):
        sock.shutdown(how)


def start_thread(act: Callable[[], None], name: str) -> threading.Thread:
    """Start a daemon thread. Raise OSError (EAGAIN) where the system has no thread left."""
    thread = threading.Thread(target=act, name=name, daemon=True)
    try:
        thread.start()
    except RuntimeError as error:
        raise OSError(errno.EAGAIN, str(error)) from None
    return thread

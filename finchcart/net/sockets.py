"""Helpers for sockets and threads, shared by all that owns some.

Owns nothing: each socket and thread belongs to who asked for it.
"""

import errno
import socket
import struct
import threading
from collections.abc import Callable
from contextlib import suppress

MICROSECONDS_PER_SECOND = 1_000_000


def timeval(microseconds: int) -> bytes:
    """Return a time as the socket options SO_SNDTIMEO and SO_RCVTIMEO take it."""
    return struct.pack("ll", *divmod(microseconds, MICROSECONDS_PER_SECOND))


def shut_down(sock: socket.socket, how: int) -> None:
    """Shut a connection down in one direction or both; one that is over already stays as it is."""
    with suppress(OSError):
        sock.shutdown(how)


def start_thread(act: Callable[[], None], name: str) -> threading.Thread:
    """Start a daemon thread. One that cannot be started is a shortage like that of descriptors: OSError."""
    thread = threading.Thread(target=act, name=name, daemon=True)
    try:
        thread.start()
    except RuntimeError as error:
        raise OSError(errno.EAGAIN, str(error)) from None
    return thread

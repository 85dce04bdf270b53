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


def timeval(microseconds: int) -> bytes:
    """Return a time in the form of the socket options SO_SNDTIMEO and SO_RCVTIMEO."""
    return struct.pack("ll", *divmod(microseconds, MICROSECONDS_PER_SECOND))


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

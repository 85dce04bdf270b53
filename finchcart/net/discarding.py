"""Discards what a peer still sends after the node has closed its direction of a connection.

Closing a socket with unread bytes resets the connection, which would lose answers in transit. This module has
no state.
"""

import socket
from collections.abc import Callable

from finchcart.limits import Limits
from finchcart.net.sockets import timeval
from finchcart.net.transient_errors import is_transient

FAILED_READ_BYTES = 4 * 1024  # a read that fails with a transient error counts as this many bytes


def discard_to_end(
    sock: socket.socket, buffer: bytearray, limits: Limits, is_writing: Callable[[], bool]
) -> None:
    """Read and discard data until the peer closes, up to a timeout without data and a number of bytes.

    The timeout does not apply while answers are still being written: the send timeout bounds that.
    """
    remaining = limits.max_discarded_bytes
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, timeval(limits.linger_timeout_us))
    except OSError:
        return
    while remaining > 0:
        was_writing = is_writing()
        try:
            count = sock.recv_into(buffer)
        except BlockingIOError:
            if not was_writing:
                return
            continue
        except OSError as error:
            if not is_transient(error):
                return
            remaining -= FAILED_READ_BYTES
            continue
        if not count:
            return
        remaining -= count

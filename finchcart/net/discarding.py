"""Reading what a peer still sends after the node has closed its direction of a connection.

Owns nothing. Closing over unread bytes would reset the connection, and with it answers on their way.
"""

import socket
from collections.abc import Callable

from finchcart.limits import Limits
from finchcart.net.sockets import timeval
from finchcart.net.transient_errors import is_transient

SHORTAGE_COST = 4 * 1024  # bytes that a read counts as which fails for want of memory


def discard_to_end(
    sock: socket.socket, buffer: bytearray, limits: Limits, is_writing: Callable[[], bool]
) -> None:
    """Read and discard until the peer closes, for a bounded time and number of bytes.

    While answers are still being written, which ends by itself, a silent peer is no reason to stop.
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
            remaining -= SHORTAGE_COST
            continue
        if not count:
            return
        remaining -= count

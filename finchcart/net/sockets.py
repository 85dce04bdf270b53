"""Helpers for sockets and threads.

Owns nothing: each socket and thread belongs to the caller.
"""

import errno
import socket
import struct
import threading
from array import array
from collections.abc import Callable
from contextlib import suppress

from finchcart.net.transient_errors import is_transient

MICROSECONDS_PER_SECOND = 1_000_000
SO_ATTACH_FILTER = 26  # socket(7), asm-generic/socket.h
FILTER_INSTRUCTION = struct.Struct("HBBI")  # struct sock_filter of linux/filter.h
FILTER_PROGRAM = struct.Struct("HP")  # struct sock_fprog, with its padding
# A classic BPF program on the TCP header: a segment with SYN and without ACK is dropped, others pass.
DROP_SYN = (
    (0x30, 0, 0, 13),  # load the byte of the flags
    (0x54, 0, 0, 0x12),  # keep SYN and ACK
    (0x15, 0, 1, 0x02),  # SYN alone?
    (0x06, 0, 0, 0),  # drop
    (0x06, 0, 0, 0xFFFFFFFF),  # pass whole
)
TCP_INFO_RECEIVED = struct.Struct("128xQ")  # tcpi_bytes_received of struct tcp_info: tcp(7), Linux 4.1 on


def timeval(microseconds: int) -> bytes:
    """Return a time in the form of the socket options SO_SNDTIMEO and SO_RCVTIMEO."""
    return struct.pack("ll", *divmod(microseconds, MICROSECONDS_PER_SECOND))


def received_bytes(sock: socket.socket) -> int:
    """Return how many bytes the system has received on a TCP connection, read or not; an end counts as one.

    0 where the system does not count.

    Raises:
        OSError: the system has no memory for the answer.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_RECEIVED.size)
    except OSError as error:
        if is_transient(error):
            raise
        return 0
    if len(info) < TCP_INFO_RECEIVED.size:
        return 0
    count: int = TCP_INFO_RECEIVED.unpack(info)[0]
    return count


def ignore_new_connections(listener: socket.socket) -> None:
    """Have the system drop requests to connect (SYN), and complete connections that are being made.

    Raises:
        OSError: the system has no memory for the filter.
    """
    program = b"".join(FILTER_INSTRUCTION.pack(*instruction) for instruction in DROP_SYN)
    instructions = array("B", program)
    address, _ = instructions.buffer_info()
    header = FILTER_PROGRAM.pack(len(DROP_SYN), address)
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, header)


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

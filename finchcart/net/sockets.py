"""Helper functions for sockets and threads; each socket and thread belongs to the caller."""

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
# A classic BPF program that reads the TCP header: it drops segments with SYN and without ACK.
DROP_SYN = (
    (0x30, 0, 0, 13),  # load the flags byte
    (0x54, 0, 0, 0x12),  # mask it with SYN | ACK
    (0x15, 0, 1, 0x02),  # if only SYN is set, go to the next instruction, else skip it
    (0x06, 0, 0, 0),  # drop the segment
    (0x06, 0, 0, 0xFFFFFFFF),  # accept the whole segment
)
TCP_INFO_RECEIVED = struct.Struct("128xQ")  # tcpi_bytes_received of struct tcp_info, tcp(7), since Linux 4.1


def timeval(microseconds: int) -> bytes:
    """Return a duration as a struct timeval, for the socket options SO_SNDTIMEO and SO_RCVTIMEO."""
    return struct.pack("ll", *divmod(microseconds, MICROSECONDS_PER_SECOND))


def received_bytes(sock: socket.socket) -> int:
    """Return how many bytes the kernel has received on a TCP connection, whether read or not.

    The peer's FIN counts as one byte. Returns 0 if the kernel does not provide the count.

    Raises:
        OSError: the system is short of memory for the call.
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
    """Attach a filter that drops connection requests (SYN); handshakes that are in progress complete.

    Raises:
        OSError: the system has no memory for the filter.
    """
    program = b"".join(FILTER_INSTRUCTION.pack(*instruction) for instruction in DROP_SYN)
    instructions = array("B", program)
    address, _ = instructions.buffer_info()
    header = FILTER_PROGRAM.pack(len(DROP_SYN), address)
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, header)


def shut_down(sock: socket.socket, how: int) -> None:
    """Shut a connection down in one direction or both; do nothing if it has already ended."""
    with suppress(OSError):
        sock.shutdown(how)


def start_thread(target: Callable[[], None], name: str) -> threading.Thread:
    """Start a daemon thread; raise OSError (EAGAIN) if the system has no thread left."""
    thread = threading.Thread(target=target, name=name, daemon=True)
    try:
        thread.start()
    except RuntimeError as error:
        raise OSError(errno.EAGAIN, str(error)) from None
    return thread

"""Injects faults into a process under test: steps of its wall clock and failing system calls.

A preloaded library (process_shim.c) intercepts the calls, and a memory-mapped file controls it. The test can
change the faults at any time while the process runs. The library also writes a trace of the accepted sockets
if `FINCHCART_SOCKET_TRACE` names a file; socket_trace.py reads the trace.

The library must never be loaded into a process in production. The faults are injected by a library and not
by a replaceable layer in `finchcart.net`, so that the program under test is the program that is deployed, and
so that the tests also cover how Python itself handles an error.
"""

import errno
import mmap
import shutil
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_suffix(".c")
SHIM_FILE_VARIABLE = "FINCHCART_SHIM"
NANOSECONDS_PER_SECOND = 1_000_000_000
HEADER = struct.Struct("q7q")
RULE = struct.Struct("8q")
COUNTS_OFFSET = 6 * 8  # position of `calls` in a rule, in bytes
PER_MILLION = 1_000_000


class SystemCall(IntEnum):
    """The functions that can be made to fail; the values are those of `enum call` in process_shim.c."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    BIND = 3
    LISTEN = 4
    RECV = 5
    SEND = 6
    SENDTO = 7
    SETSOCKOPT = 8
    WRITE = 9  # only writes to standard error
    THREAD = 10  # pthread_create


# The errors that the Linux manual pages document for each call, without those that cannot occur with the
# arguments that finchcart passes. Pages: accept(2), socket(2), connect(2), bind(2), listen(2), recv(2),
# send(2), write(2), pthread_create(3), tcp(7).
DOCUMENTED_ERRORS: dict[SystemCall, tuple[int, ...]] = {
    SystemCall.ACCEPT: (
        errno.ECONNABORTED,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EINTR,
    )
    + (errno.EPROTO, errno.EPERM, errno.ENETDOWN, errno.EHOSTUNREACH, errno.ENETUNREACH),
    SystemCall.SOCKET: (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    SystemCall.CONNECT: (
        errno.ECONNREFUSED,
        errno.ETIMEDOUT,
        errno.ENETUNREACH,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
    )
    + (errno.EHOSTUNREACH, errno.EINTR, errno.ECONNRESET),
    SystemCall.BIND: (errno.EADDRINUSE, errno.ENOMEM),
    SystemCall.LISTEN: (errno.EADDRINUSE, errno.ENOBUFS),
    SystemCall.RECV: (errno.EINTR, errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENOMEM),
    SystemCall.SEND: (
        errno.EINTR,
        errno.ECONNRESET,
        errno.EPIPE,
        errno.ETIMEDOUT,
        errno.ENOBUFS,
        errno.ENOMEM,
    ),
    SystemCall.SENDTO: (errno.EINTR, errno.ECONNREFUSED, errno.ENOBUFS, errno.ENOMEM, errno.ENETUNREACH),
    SystemCall.SETSOCKOPT: (errno.ENOBUFS, errno.ENOMEM),
    SystemCall.WRITE: (errno.ENOSPC, errno.EPIPE, errno.EIO, errno.EINTR),
    SystemCall.THREAD: (errno.EAGAIN,),
}


def build_library(folder: Path) -> Path | None:
    """Compile the library into the folder and return its path, or None if there is no C compiler."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        return None
    library = folder / "process_shim.so"
    command = [compiler, "-O1", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl", "-lpthread"]
    subprocess.run(command, check=True, capture_output=True)
    return library


class ProcessShim:
    """Controls the faults in all processes that are started with `environment`.

    These processes share the clock offset, the rules and the counters.
    """

    def __init__(self, library: Path, folder: Path, name: str = "shim") -> None:
        path = folder / f"{name}.bin"
        path.write_bytes(bytes(mmap.PAGESIZE))
        self.environment = {"LD_PRELOAD": str(library), SHIM_FILE_VARIABLE: str(path)}
        with path.open("r+b") as file:
            self._map = mmap.mmap(file.fileno(), mmap.PAGESIZE)

    @property
    def clock_offset_s(self) -> float:
        """The offset of the processes' wall clock from the machine's, in seconds."""
        return struct.unpack_from("q", self._map, 0)[0] / NANOSECONDS_PER_SECOND

    def set_clock_offset(self, seconds: float) -> None:
        """Step the wall clock of the processes to this offset from the machine's."""
        struct.pack_into("q", self._map, 0, int(seconds * NANOSECONDS_PER_SECOND))

    def fail_at(self, call: SystemCall, first: int, error: int, count: int = 1) -> None:
        """Reset the counters and fail `count` calls in a row, starting at call number `first` (from 1)."""
        RULE.pack_into(self._map, self._offset(call), first, count, error, 0, 0, 0, 0, 0)

    def fail_randomly(self, call: SystemCall, probability: float, error: int, seed: int) -> None:
        """Reset the counters and fail each call with this probability."""
        fields = (0, 0, error, int(probability * PER_MILLION), seed, 0, 0, 0)
        RULE.pack_into(self._map, self._offset(call), *fields)

    def shorten_randomly(self, call: SystemCall, probability: float, max_bytes: int, seed: int) -> None:
        """Reset the counters and limit the bytes of each read or write with this probability."""
        fields = (0, 0, 0, int(probability * PER_MILLION), seed, max_bytes, 0, 0)
        RULE.pack_into(self._map, self._offset(call), *fields)

    def stop_failing(self, call: SystemCall) -> None:
        """Remove the rule of the call; its counters are kept."""
        struct.pack_into("6q", self._map, self._offset(call), 0, 0, 0, 0, 0, 0)

    def calls(self, call: SystemCall) -> int:
        """Return how often the function was called since its last rule was set."""
        return struct.unpack_from("q", self._map, self._offset(call) + COUNTS_OFFSET)[0]

    def injected(self, call: SystemCall) -> int:
        """Return how many of these calls a rule made fail or shortened."""
        return struct.unpack_from("q", self._map, self._offset(call) + COUNTS_OFFSET + 8)[0]

    def _offset(self, call: SystemCall) -> int:
        return HEADER.size + call * RULE.size

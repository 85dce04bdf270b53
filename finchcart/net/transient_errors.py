"""Transient errors of system calls: which errors they are, and retries within a bound.

Owns the list of errors and the pauses. It must never retry what cannot pass, nor a call that may have sent
something.
"""

import errno
import time
from collections.abc import Callable
from typing import TypeVar

from loguru import logger

# A shortage of the machine's or of the process's, that passes: accept(2), socket(2), listen(2), recv(2),
# send(2), pthread_create(3), open(2).
SHORTAGES = frozenset(
    (errno.EAGAIN, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.EIO)
)
# A port that another process is about to leave: bind(2), listen(2).
PORT_TAKEN = errno.EADDRINUSE
# What accept(2) says of the connection that it would have returned, not of the listening socket.
CONNECTION_ERRORS = frozenset(
    (errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.ENOPROTOOPT, errno.EOPNOTSUPP)
    + (errno.ENETDOWN, errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH, errno.ENETUNREACH)
    + (errno.ECONNRESET, errno.ETIMEDOUT, errno.EINTR)
)
FIRST_PAUSE_S = 0.005
MAX_PAUSE_S = 0.1
SHORTAGE_PAUSE_S = 0.01  # between reads or writes of a connection that the system has no memory for
MAX_SHORTAGES = 100  # one after the other; then the connection counts as broken
START_TIMEOUT_S = 3.0

T = TypeVar("T")


def is_transient(error: BaseException | None) -> bool:
    """Return whether the error, or its cause, is transient."""
    if isinstance(error, OSError) and error.errno is not None:
        return error.errno in SHORTAGES or error.errno == PORT_TAKEN
    return error is not None and is_transient(error.__cause__)


def retry_at_start(act: Callable[[], T], what: str) -> T:
    """Return `act()`, retried for `START_TIMEOUT_S` on transient errors; one log line a cause.

    Raises what `act` raises: immediately where that is not transient, else after the timeout.
    """
    give_up_at = time.monotonic() + START_TIMEOUT_S
    pause_s = FIRST_PAUSE_S
    causes: set[str] = set()
    while True:
        try:
            return act()
        except Exception as error:  # any: the cause below it decides whether it is transient
            if not is_transient(error) or time.monotonic() + pause_s > give_up_at:
                raise
            if str(error) not in causes:
                causes.add(str(error))
                logger.warning("{}: {}; trying again for {} s", what, error, START_TIMEOUT_S)
        time.sleep(pause_s)
        pause_s = min(2 * pause_s, MAX_PAUSE_S)

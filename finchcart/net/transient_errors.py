"""System calls that fail for a moment: which errors pass by themselves, and trying again within a bound.

Owns the list of errors and the pauses. It must never try again what cannot pass, nor what a second copy of
would do harm: a call that sent something is not tried again here.
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
OF_ONE_CONNECTION = frozenset(
    (errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.ENOPROTOOPT, errno.EOPNOTSUPP)
    + (errno.ENETDOWN, errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH, errno.ENETUNREACH)
    + (errno.ECONNRESET, errno.ETIMEDOUT, errno.EINTR)
)
FIRST_PAUSE_S = 0.005
LONGEST_PAUSE_S = 0.1
SHORTAGE_PAUSE_S = 0.01  # between reads or writes of a connection that the system has no memory for
MOST_SHORTAGES = 100  # one after the other; then the connection counts as broken
START_BOUND_S = 3.0  # a start that is held up for longer fails

T = TypeVar("T")


def is_transient(error: BaseException | None) -> bool:
    """Whether the error, or what it was raised from, passes by itself."""
    if isinstance(error, OSError) and error.errno is not None:
        return error.errno in SHORTAGES or error.errno == PORT_TAKEN
    return error is not None and is_transient(error.__cause__)


def retry_at_start(act: Callable[[], T], what: str) -> T:
    """Return `act()`, tried again for `START_BOUND_S` where it fails for a moment; one log line a cause.

    Raises what `act` raises: at once where that can't pass, else after the bound.
    """
    give_up_at = time.monotonic() + START_BOUND_S
    pause_s = FIRST_PAUSE_S
    causes: set[str] = set()
    while True:
        try:
            return act()
        except Exception as error:
            if not is_transient(error) or time.monotonic() + pause_s > give_up_at:
                raise
            if str(error) not in causes:
                causes.add(str(error))
                logger.warning("{}: {}; trying again for {} s", what, error, START_BOUND_S)
        time.sleep(pause_s)
        pause_s = min(2 * pause_s, LONGEST_PAUSE_S)

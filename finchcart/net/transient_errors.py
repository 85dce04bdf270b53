"""Defines which errors of system calls are transient, and retries operations at startup.

This module owns the lists of errors and the delays between attempts. It must never retry a permanent error,
or a call that may have sent data.
"""

import errno
import time
from collections.abc import Callable
from typing import TypeVar

from loguru import logger

# Temporary shortages of resources in the system or the process, as documented in accept(2), socket(2),
# listen(2), recv(2), send(2), pthread_create(3) and open(2).
SHORTAGES = frozenset(
    (errno.EAGAIN, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.EIO)
)
# Error of bind(2) and listen(2) while another process still uses the port, which it may be about to release.
PORT_IN_USE = errno.EADDRINUSE
# Errors of accept(2) that concern only the connection being accepted, not the listening socket.
CONNECTION_ERRORS = frozenset(
    (errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.ENOPROTOOPT, errno.EOPNOTSUPP)
    + (errno.ENETDOWN, errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH, errno.ENETUNREACH)
    + (errno.ECONNRESET, errno.ETIMEDOUT, errno.EINTR)
)
INITIAL_BACKOFF_S = 0.005
MAX_BACKOFF_S = 0.1
SHORTAGE_PAUSE_S = 0.01  # delay before a read, a write or a thread start is retried after a shortage
MAX_SHORTAGES = 100  # consecutive failed reads or writes after which the connection counts as broken
START_TIMEOUT_S = 3.0

T = TypeVar("T")


def is_transient(error: BaseException | None) -> bool:
    """Return whether the error, or its cause, is transient."""
    if isinstance(error, OSError) and error.errno is not None:
        return error.errno in SHORTAGES or error.errno == PORT_IN_USE
    return error is not None and is_transient(error.__cause__)


def retry_at_start(operation: Callable[[], T], description: str) -> T:
    """Return the result of `operation`; retry transient errors with a backoff for `START_TIMEOUT_S`.

    Each different error is logged once. An exception of `operation` is raised immediately if it is not
    transient, and otherwise after the timeout.
    """
    give_up_at = time.monotonic() + START_TIMEOUT_S
    backoff_s = INITIAL_BACKOFF_S
    logged_errors: set[str] = set()
    while True:
        try:
            return operation()
        except Exception as error:  # of any type: a transient OSError may be its cause
            if not is_transient(error) or time.monotonic() + backoff_s > give_up_at:
                raise
            if str(error) not in logged_errors:
                logged_errors.add(str(error))
                logger.warning("{}: {}; trying again for {} s", description, error, START_TIMEOUT_S)
        time.sleep(backoff_s)
        backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

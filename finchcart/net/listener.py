"""The listening socket, and how many connections of others may be open.

Owns the listening socket and the numbers of accepted connections. It must never read from one.
"""

import socket
import threading
from collections.abc import Callable
from itertools import count
from time import sleep

from loguru import logger

from finchcart.net.limits import Limits
from finchcart.net.sockets import MICROSECONDS_PER_SECOND, shut_down

# A number, its socket, the host that it comes from, and what is to be called once its descriptor is free.
OnAccepted = Callable[[int, socket.socket, str | None, Callable[[], None]], None]


class Listener:
    """Accepts dispatchers' connections and numbers them from 1 up.

    Bounded by `limits.max_accepted`: what is over that waits in the system's backlog until one closes, so
    that descriptors for the node's own connections and files are always left.
    """

    def __init__(self, address: tuple[str, int], limits: Limits) -> None:
        self.capacity = threading.Semaphore(limits.max_accepted)
        self.on_accepted: OnAccepted | None = None  # to be set before `accept` or `stop`
        self._limits = limits
        self._numbers = count(1)
        self._is_stopped = False
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(address)
        self.sock.listen(limits.backlog)

    def accept(self) -> None:
        """Hand each connection to `on_accepted` until `stop` is called; the body of a thread."""
        has_warned = False
        while not self._is_stopped:
            self.capacity.acquire()
            try:
                self._accept_one()
            except OSError as error:
                self.capacity.release()
                if self._is_stopped:
                    return
                # Guards against a spin where descriptors or memory run out: what waits is accepted later.
                if not has_warned:
                    logger.warning("accept: {}", error.strerror)
                has_warned = True
                sleep(self._limits.accept_retry_delay / MICROSECONDS_PER_SECOND)
                continue
            has_warned = False

    def _accept_one(self) -> None:
        sock, address = self.sock.accept()
        try:
            host = address and address[0]
            self.on_accepted(next(self._numbers), sock, host, self.capacity.release)
        except OSError:
            sock.close()
            raise

    def stop(self) -> None:
        """Accept no more. Those that the system has accepted are taken first: a reset would lose requests."""
        self._is_stopped = True
        self.sock.setblocking(False)
        while self.capacity.acquire(blocking=False):
            try:
                self._accept_one()
            except OSError:
                self.capacity.release()
                break
        shut_down(self.sock, socket.SHUT_RDWR)

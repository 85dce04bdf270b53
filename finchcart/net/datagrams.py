"""The member's socket and thread: datagrams between members.

Owns one UDP socket, the boot clock and the thread that feeds `Member`. It must never block on the core or be
blocked by it: changes go to the core's queue, and signals come through a queue of its own. A fault here
isolates the node and ends the thread; RPCs are served on.

Ticks hold their time beside a busy reducer because the thread sleeps in the kernel between them and asks for
the interpreter only when it is due: it waits one switch interval (5 ms) for each busy thread before it, out
of a tick of 100 ms.
"""

import threading
import time
from queue import Empty, SimpleQueue
from socket import AF_INET, MSG_DONTWAIT, SO_RCVBUF, SOCK_DGRAM, SOL_SOCKET, socket

from loguru import logger

from finchcart.members.wire import MOST

BUFFER = 1 << 20  # bytes that the kernel may keep while this process is stopped or starved
DRAIN = 512  # datagrams taken between two ticks' looks at the clock
LAST_WORDS = 2  # times that the end is told


def boot_clock():
    """Whole microseconds since the machine started, suspension counted."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class Datagrams:
    """`make(now)` gives the member; `hand_out(change)` takes its changes; `reread()` gives an input or
    None."""

    def __init__(self, listen, make, hand_out, reread):
        self.sock = socket(AF_INET, SOCK_DGRAM)
        try:
            self.sock.bind(listen)
        except OSError:
            self.sock.close()
            raise
        self.sock.setsockopt(SOL_SOCKET, SO_RCVBUF, BUFFER)
        self.make, self.hand_out, self.reread = make, hand_out, reread
        self.told, self.over = SimpleQueue(), threading.Event()

    def start(self):
        threading.Thread(target=self.run, name="members", daemon=True).start()

    def tell(self, *what):
        """An input for the member: taken up with the next tick. May be called from a signal handler."""
        self.told.put(what)

    def end(self, within=1.0):
        self.tell("end")
        self.over.wait(within)

    def run(self):
        try:
            self.member = self.make(boot_clock())
            self.turn()
        except Exception:
            # Guards against a node that falls with its view of the others: alone is an ordinary state.
            logger.exception("members: the view can't be trusted, this node is alone from here on")
            self.hand_out(("isolated", True, "fault"))
        finally:
            self.over.set()

    def turn(self):
        member, clock = self.member, boot_clock
        due = clock()
        while not member.ended:
            now = clock()
            if now >= due:
                # All that came before the tick is taken first: who is late doubts itself before others.
                for _ in range(DRAIN):
                    if not self.receive(MSG_DONTWAIT):
                        break
                try:
                    while True:
                        what = self.told.get_nowait()
                        what = self.reread() if what == ("reread",) else what
                        if what:
                            self.carry_out(member.reduce(clock(), what))
                except Empty:
                    pass
                now = clock()
                self.carry_out(member.reduce(now, ("tick",)))
                due = max(due + member.figures.tick, now + member.figures.tick // 2)
                continue
            self.sock.settimeout((due - now) / 1e6)
            self.receive()
        for _ in range(LAST_WORDS - 1):
            self.carry_out(member.reduce(clock(), ("end",)))

    def receive(self, flags=0):
        """One datagram; False where there was none."""
        try:
            data, address = self.sock.recvfrom(MOST + 1, flags)
        except (BlockingIOError, TimeoutError):
            return False
        except OSError:
            return True  # an earlier datagram met nobody: the kernel tells it here
        self.carry_out(self.member.reduce(boot_clock(), ("got", address, data)))
        return True

    def carry_out(self, effects):
        for act, *args in effects:
            if act == "send":
                try:
                    self.sock.sendto(args[1], MSG_DONTWAIT, args[0])
                except OSError:
                    self.member.count("could not be sent")
            elif act == "log":
                logger.bind(**args[1]).info("members: {}", args[0])
            else:
                self.hand_out((act, *args))
                if act == "change":
                    name, state, incarnation = args
                    logger.bind(member=name, state=state, incarnation=incarnation).info(
                        "members: {} is {}", name, state)
                else:
                    logger.bind(isolated=args[0], why=args[1]).info(
                        "members: {}: {}", "isolated" if args[0] else "connected", args[1])

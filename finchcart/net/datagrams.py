"""The socket and thread on which processes of a fleet talk.

Owns one UDP socket and the thread that feeds the state machines behind it, one for each channel (the first
byte of a datagram). It must never block on the core or be blocked by it: changes go to the core's queue, and
signals come through a queue of its own. A fault here isolates the node and ends the thread; RPCs are served
on.

Ticks hold their time beside a busy reducer because the thread sleeps in the kernel between them and asks for
the interpreter only when it is due: it waits one switch interval (5 ms) for each busy thread before it, out
of a tick of 100 ms.
"""

import threading
from queue import Empty, SimpleQueue
from socket import AF_INET, MSG_DONTWAIT, SO_RCVBUF, SOCK_DGRAM, SOL_SOCKET, socket

from loguru import logger

from finchcart.membership.codec import MAX_DATAGRAM_BYTES
from finchcart.net.clock import boot_clock

TICK = 100_000  # microseconds, where no machine names its own
BUFFER = 1 << 20  # bytes that the kernel may keep while this process is stopped or starved
DRAIN = 512  # datagrams taken between two ticks' looks at the clock
LAST_WORDS = 2  # times that the end is told


class DatagramEndpoint:
    """`make(now)` gives the machines by channel; `publish(change)` takes their changes; `reread()` gives
    (channel, input) for each that is to hear of new settings."""

    def __init__(self, listen, make, publish, reread):
        self.sock = socket(AF_INET, SOCK_DGRAM)
        try:
            self.sock.bind(listen)
        except OSError:
            self.sock.close()
            raise
        self.sock.setsockopt(SOL_SOCKET, SO_RCVBUF, BUFFER)
        self.make, self.publish, self.reread = make, publish, reread
        self.told, self.over = SimpleQueue(), threading.Event()

    def start(self):
        threading.Thread(target=self.run, name="fleet", daemon=True).start()

    def post(self, channel, *what):
        """An input for one machine, or for all (None): taken up with the next tick. May be called from a
        signal handler."""
        self.told.put((channel, what))

    def post_now(self, channel, *what):
        """The same, taken up at once: an empty datagram to itself ends the wait."""
        self.told.put((channel, what))
        try:
            self.sock.sendto(b"", MSG_DONTWAIT, self.sock.getsockname())
        except OSError:
            pass  # the next tick is soon

    def stop(self, within=1.0):
        self.post(None, "end")
        self.over.wait(within)

    def run(self):
        try:
            self.machines = self.make(boot_clock())
            self.turn()
        except Exception:
            # Guards against a node that falls with its view of the others: alone is an ordinary state.
            logger.exception("fleet: the state can't be trusted, this process is alone from here on")
            self.publish(("isolated", True, "fault"))
        finally:
            self.over.set()

    def turn(self):
        machines, clock = self.machines, boot_clock
        due = clock()
        while not all(machine.ended for machine in machines.values()):
            now = clock()
            if now < due:
                self.sock.settimeout((due - now) / 1e6)
                self.receive()
                continue
            # All that came before the tick is taken first: who is late doubts itself before others. Guards
            # against a tick that waits for more: with a timeout set, a read waits whatever its flags say.
            self.sock.settimeout(0)
            for _ in range(DRAIN):
                if not self.receive():
                    break
            self.drain_mailbox()
            now, tick = clock(), TICK
            for machine in machines.values():
                self.execute(machine, machine.reduce(now, ("tick",)))
                tick = min(tick, getattr(machine, "tick", TICK))
            due = max(due + tick, now + tick // 2)
        for _ in range(LAST_WORDS - 1):
            for machine in machines.values():
                self.execute(machine, machine.reduce(clock(), ("end",)))

    def drain_mailbox(self):
        try:
            while True:
                told = self.told.get_nowait()
                for channel, what in self.reread() if told[1] == ("reread",) else [told]:
                    for machine in self.machines.values() if channel is None else [self.machines[channel]]:
                        self.execute(machine, machine.reduce(boot_clock(), what))
        except Empty:
            pass

    def receive(self):
        """One datagram; False where there was none in the time that is set."""
        try:
            data, address = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
        except (BlockingIOError, TimeoutError):
            return False
        except OSError:
            return True  # an earlier datagram met nobody: the kernel tells it here
        if not data:
            self.drain_mailbox()
            return True
        machine = self.machines.get(data[:1])
        if machine:
            self.execute(machine, machine.reduce(boot_clock(), ("got", address, data)))
        else:
            next(iter(self.machines.values())).count("of an unknown channel")
        return True

    def execute(self, machine, effects):
        for act, *args in effects:
            if act == "send":
                try:
                    self.sock.sendto(args[1], MSG_DONTWAIT, args[0])
                except OSError:
                    machine.count("could not be sent")
            elif act == "log":
                logger.bind(**args[1]).info("fleet: {}", args[0])
            else:
                self.publish((act, *args))
                if act == "change":
                    name, state, incarnation = args
                    logger.bind(member=name, state=state, incarnation=incarnation).info(
                        "members: {} is {}", name, state
                    )
                elif act == "isolated":
                    logger.bind(isolated=args[0], why=args[1]).info(
                        "members: {}: {}", "isolated" if args[0] else "connected", args[1]
                    )

"""Sockets and their threads.

Owns every socket of the node. Each link has a reader thread with a small stack on a blocking socket, which
delivers one batch of messages for each time that it is asked. What the kernel takes at once is written
without a further thread; a link that the far side doesn't read gets a writer thread until all is written.
Threads must never touch the node's state: what they see goes to the one queue as an input of the core.
"""

import errno
import socket
import struct
import threading
from itertools import count
from queue import SimpleQueue
from time import sleep, time_ns

from loguru import logger

from finchcart.errors import ProtocolError
from finchcart.net import line_protocol
from finchcart.net.clock import boot_clock
from finchcart.node.inputs import (
    ConnectionClosed,
    ConnectionEnded,
    ConnectionOpened,
    ConnectionRefused,
    FramesReceived,
    WriteBlocked,
    WriteResumed,
)

CODECS = {
    "pool": line_protocol.WORKER_POOL_CODEC,
    "store": line_protocol.STORE_CODEC,
}  # fronts bring their own


def timeval(us):
    return struct.pack("ll", *divmod(us, 1_000_000))


def shut(sock, how):
    try:
        sock.shutdown(how)
    except OSError:
        pass  # it is over already


def start_thread(act, name):
    """A thread that can't be started is a shortage like that of descriptors."""
    thread = threading.Thread(target=act, name=name, daemon=True)
    try:
        thread.start()
    except RuntimeError as error:
        raise OSError(errno.EAGAIN, str(error)) from None
    return thread


class Connection:
    """One connection. `ask`, `send` and `close` never block."""

    def __init__(self, number, codec, inputs, buffers, limits, sock=None, address=None, over=None):
        """`over()`: once its descriptor is free again."""
        self.number, self.codec, self.over = number, codec, over
        self.inputs, self.buffers, self.limits = inputs, buffers, limits
        self.sock, self.address = sock, address
        self.batch = limits.outbound_batch if address else limits.frontend_batch
        self.asked = SimpleQueue()
        self.lock = threading.Lock()  # never held over a wait
        self.pending, self.writer, self.by = [], None, None
        self.up = self.closing = self.dropped = False
        # Batches that the reader handed over, and those that the one thread took; whether the reader holds
        # bytes that are not handed over.
        self.handed, self.taken, self.left = 0, 0, False
        if sock:
            try:
                self.opened()  # before the reader runs, which may be late: what is sent until then goes out
            except OSError:
                pass  # it has ended already: the reader learns of it and tells
        start_thread(self.read, f"read {number}")

    def ask(self):
        self.asked.put(True)

    def send(self, data, by=None):
        """`by`: on the boot clock; what can't be written until then breaks the link instead."""
        with self.lock:
            self.by = by
            if by is not None and boot_clock() > by:
                self.dropped = True
                if self.sock:
                    shut(self.sock, socket.SHUT_RDWR)
                return
            if self.up and not self.pending and not self.writer:
                try:
                    data = data[self.sock.send(data, socket.MSG_DONTWAIT) :]
                except BlockingIOError:
                    pass  # the far side does not read
                except OSError:
                    shut(self.sock, socket.SHUT_RDWR)  # broken: the reader learns of it and tells
                    return
                if not data:
                    return
                self.inputs.put(WriteBlocked(self.number))
            self.pending.append(data)
            self.write_on()

    def close(self):
        """Once all that was handed over is written."""
        with self.lock:
            self.closing = True
            if self.up and not self.writer:
                shut(self.sock, socket.SHUT_WR)
        self.asked.put(False)

    def finish(self):
        """Closes where nothing is on its way in either direction, and tells whether it did. Guards against a
        close that overtakes what was sent before it: a request that is in the system's buffer, in the
        reader's hands, or read and not yet seen by the core; an answer that is not written."""
        with self.lock:
            if self.pending or self.writer or not self.up:
                return False
            # The system's buffer before the reader's marks: the reader takes bytes out of the one and sets
            # the others after, so that what was there is seen in one of the two places.
            try:
                if self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
                    return False
            except OSError:
                pass  # nothing waits, or it is broken
            if self.left or self.handed != self.taken:
                return False
            self.closing = True
            shut(self.sock, socket.SHUT_WR)
        self.asked.put(False)
        return True

    def drop(self):
        """At once, whatever is on its way."""
        with self.lock:
            self.dropped = self.closing = True
            if self.sock:
                shut(self.sock, socket.SHUT_RDWR)
        self.asked.put(False)

    # ---- the reader, which also owns the end of the socket

    def read(self):
        why, told = "", False
        try:
            self.begin()
        except OSError as error:
            if self.address:
                self.inputs.put(ConnectionRefused(self.number, error.strerror or str(error)))
            else:
                self.inputs.put(ConnectionEnded(self.number, ""))
        else:
            why, told = self.read_messages()
            if not told:
                self.inputs.put(ConnectionEnded(self.number, why))
        while not told and self.asked.get():
            pass  # until the close is ordered
        if (why or told) and not self.dropped:
            self.discard()
        with self.lock:
            self.up = False
            writer = self.writer
            if self.sock and (self.dropped or not (why or told)):
                shut(self.sock, socket.SHUT_RDWR)
        if writer:
            writer.join()
        if self.sock:
            self.sock.close()
        if self.over:
            self.over()
        self.inputs.put(ConnectionClosed(self.number))

    def begin(self):
        """Connects where that is still to be done, and writes what waited for it."""
        if self.sock is None:
            self.sock = socket.create_connection(self.address, self.limits.connect_timeout / 1_000_000)
            self.sock.settimeout(None)
            if self.dropped:
                raise ConnectionAbortedError(errno.ECONNABORTED, "given up")
            if self.sock.getsockname() == self.sock.getpeername():
                # Guards against a connection to itself, where nobody listens on a port given by chance.
                raise ConnectionRefusedError(errno.ECONNREFUSED, "connected to itself")
        if self.by is not None and boot_clock() > self.by:
            # Guards against a call that outlives the grant that it was made under.
            raise ConnectionAbortedError(errno.ECONNABORTED, "too late for its grant")
        with self.lock:
            if not self.up:
                self.opened()
            if self.pending:
                self.write_on()
            elif self.closing:
                shut(self.sock, socket.SHUT_WR)

    def opened(self):
        """Small writes are not held back, and one that makes no headway ends."""
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeval(self.limits.send_timeout))
        self.up = True

    def read_messages(self):
        """Until the far side closes, sends what can't be read, or the close is ordered. Returns what can't be
        read, and whether the close was ordered."""
        buffer, end, size, most = None, 0, self.buffers.size, self.batch
        data, at = b"", 0  # what is read and not handed over begins at `at`
        first, frame, sock = bytearray(1), self.codec.frame, self.sock
        try:
            while self.asked.get():
                frames, fault = [], None
                while True:
                    try:
                        while len(frames) < most:
                            ends = frame(data, at, size)
                            if ends is None:
                                break
                            frames.append(data[at:ends])
                            at = ends
                    except ProtocolError as error:
                        fault = error
                    except Exception as error:
                        # Guards the node against a fault of a codec: it costs this link alone.
                        logger.exception("reading link {}", self.number)
                        fault = error
                    self.left = at < len(data)
                    if frames:
                        # What was whole before a fault is handed over first.
                        self.handed += 1
                        self.inputs.put(FramesReceived(self.number, frames, time_ns() // 1000))
                    if fault:
                        return str(fault), False
                    if frames:
                        break
                    if at == len(data):
                        data, at, end = b"", 0, 0
                        if buffer is None or not self.buffers.may_stay():
                            # One of many links that idle holds no buffer: the first byte is only looked at.
                            if buffer is not None:
                                self.buffers.give_back(buffer)
                                buffer = None
                            if not sock.recv_into(first, 1, socket.MSG_PEEK):
                                return "", False
                            buffer = self.buffers.take()
                    elif at or end == 0:
                        data, at = data[at:], 0
                        end = len(data)
                        buffer[:end] = data
                    if end == size:
                        return f"a message of over {end} bytes", False
                    with memoryview(buffer) as view:
                        count = sock.recv_into(view[end:])
                        if not count:
                            return "", False
                        self.left = True
                        end += count
                        data = bytes(view[:end])
            return "", True
        except OSError:
            return "", False
        finally:
            if buffer is not None:
                self.buffers.give_back(buffer)

    def discard(self):
        """Reads on without a look until the far side closes: closing over unread bytes would reset the
        connection, and with it answers on their way. Guards against one that never stops: not for long. While
        answers are still being written, which ends by itself, silence is no reason to stop."""
        buffer, left = self.buffers.take(), self.limits.discard_size
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, timeval(self.limits.linger_timeout))
            while left > 0:
                writing = self.writer
                try:
                    count = self.sock.recv_into(buffer)
                except BlockingIOError:
                    if not writing:
                        break
                    continue
                if not count:
                    break
                left -= count
        except OSError:
            pass
        finally:
            self.buffers.give_back(buffer)

    # ---- the writer, which is there while the far side is behind

    def write_on(self):
        """Called with the lock: sees to a writer for what is pending."""
        if self.up and not self.writer:
            try:
                self.writer = start_thread(self.write, f"write {self.number}")
            except OSError:
                shut(self.sock, socket.SHUT_RDWR)
                self.pending = []
                self.inputs.put(WriteResumed(self.number))  # or its close would wait for a write for ever

    def write(self):
        while True:
            with self.lock:
                data, self.pending = b"".join(self.pending), []
                if not data:
                    self.writer = None
                    if self.closing:
                        shut(self.sock, socket.SHUT_WR)
                    self.inputs.put(WriteResumed(self.number))
                    return
            try:
                self.sock.sendall(data)
            except OSError:
                shut(self.sock, socket.SHUT_RDWR)  # broken, or no headway


class Listener:
    """Accepts dispatchers' connections and numbers them from 1 up. Bounded by `limits.max_accepted`: what is
    over that waits in the system's backlog until one closes, so that descriptors for the node's own links and
    files are always left."""

    def __init__(self, address, limits):
        self.limits, self.numbers = limits, count(1)
        self.room, self.stopped, self.opened = threading.Semaphore(limits.max_accepted), False, None
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(address)
        self.sock.listen(limits.backlog)

    def accept(self):
        """Hands each to `opened(number, socket, host, over)` until told to stop; `over()` makes room."""
        short = False
        while not self.stopped:
            self.room.acquire()
            try:
                self.accept_one()
            except OSError as error:
                self.room.release()
                if self.stopped:
                    return
                # Guards against a spin where descriptors or memory run out: what waits is accepted later.
                if not short:
                    logger.warning("accept: {}", error.strerror)
                short = True
                sleep(self.limits.accept_retry_delay / 1_000_000)
                continue
            short = False

    def accept_one(self):
        sock, place = self.sock.accept()
        try:
            self.opened(next(self.numbers), sock, place and place[0], self.room.release)
        except OSError:
            sock.close()
            raise

    def stop(self):
        """Guards against resets of those that the system has accepted already: they are taken first."""
        self.stopped = True
        self.sock.setblocking(False)
        while self.room.acquire(blocking=False):
            try:
                self.accept_one()
            except OSError:
                self.room.release()
                break
        shut(self.sock, socket.SHUT_RDWR)


class ConnectionTable:
    """Carries out the core's effects. Called by one thread, and by the listener's for new connections."""

    def __init__(self, inputs, buffers, limits, listener, front, codec):
        """`front`: the kind of link that the listener's are, read with `codec`."""
        self.inputs, self.buffers, self.limits, self.listener = inputs, buffers, limits, listener
        self.front, self.codecs, self.held = front, {**CODECS, front: codec}, {}
        self.prompt = set()  # links whose messages are not worth waiting for company
        self.links, self.reports = {}, SimpleQueue()
        self.registry = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        start_thread(self.send_reports, "reports")

    def listen(self):
        self.listener.opened = self.opened
        start_thread(self.listener.accept, "accept")

    def unlisten(self):
        self.listener.stop()

    def opened(self, number, sock, host, over):
        self.links[number] = Connection(
            number, self.codecs[self.front], self.inputs, self.buffers, self.limits, sock=sock, over=over
        )
        self.inputs.put(ConnectionOpened(number, self.front, host))

    def connect(self, number, kind, address):
        if kind == "store":
            self.prompt.add(number)
        try:
            self.links[number] = Connection(
                number, self.codecs[kind], self.inputs, self.buffers, self.limits, address=address
            )
        except OSError as error:
            # Guards against an end of the node where threads run out: nothing was sent, so it is tried again.
            self.inputs.put(ConnectionRefused(number, error.strerror))
            self.inputs.put(ConnectionClosed(number))

    def messages(self, number, frames):
        """What the frames say, and what is wrong with the first that can't be read (None: nothing)."""
        link, said = self.links.get(number), []
        if link:
            link.taken += 1
            try:
                for frame in frames:
                    said.append(link.codec.message(frame))
            except ProtocolError as error:
                return said, str(error)
            except Exception as error:  # a fault of a codec costs this link alone
                logger.exception("reading link {}", number)
                return said, f"{type(error).__name__}: {error}"
        return said, None

    def read(self, number):
        if number in self.links:
            self.links[number].ask()

    def send(self, number, data):
        """Held until the turn's end: what goes out on one link then is one write. A call to the store is not:
        its link carries no other."""
        held = self.held.get(number)
        if number in self.prompt:
            if number in self.links:
                self.links[number].send(data)
        elif held is None:
            self.held[number] = [data]
        else:
            held.append(data)

    def send_by(self, number, data, by):
        if number in self.links:
            self.links[number].send(data, by)

    def flush(self):
        """The end of a turn."""
        held, self.held = self.held, {}
        for number, parts in held.items():
            if number in self.links:
                self.links[number].send(parts[0] if len(parts) == 1 else b"".join(parts))

    def write_held(self, number):
        parts = self.held.pop(number, None)
        if parts and number in self.links:
            self.links[number].send(b"".join(parts))

    def close(self, number):
        self.write_held(number)
        if number in self.links:
            self.links[number].close()

    def finish(self, number):
        """See `Connection.finish`; a link that is gone is closed."""
        self.write_held(number)
        link = self.links.get(number)
        return link is None or link.finish()

    def drop(self, number):
        self.write_held(number)
        self.prompt.discard(number)
        link = self.links.pop(number, None)
        if link:
            link.drop()

    def report(self, *report):
        self.reports.put(report)

    def send_reports(self):
        """Waits for nobody: a datagram goes out or is lost."""
        while True:
            address, data = self.reports.get()
            try:
                self.registry.sendto(data, address)
            except OSError:
                pass  # the registry is down: the next report is due soon

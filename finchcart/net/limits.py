"""All sizes, counts and times of the real node, in one type.

Owns the figures by which the node bounds itself; filled once at start from the configuration and handed down.
It must never hold a figure that decides about RPCs: those live in finchcart/control.py alone.
"""

from dataclasses import dataclass

MS, SECOND = 1_000, 1_000_000


@dataclass(frozen=True)
class Limits:
    """Times are whole microseconds."""

    memory: int  # bytes that the node may take
    descriptors: int  # open files and sockets
    stop: int  # from the notice to leave until the kill

    base: int = 20 * 2**20  # what the process takes besides connections: 14 MB measured, and kept state
    connection: int = 64 * 1024  # what one takes, 49 KB measured: two threads, a buffer, queued answers
    stack: int = 128 * 1024  # of each thread
    buffer: int = 16 * 1024  # the one size of buffers: the longest message that is read
    spare_buffers: int = 64  # kept for reuse; more are let go
    backlog: int = 1024  # connections that wait to be accepted
    reserve: int = 64  # descriptors kept from dispatchers: listener, pool, store, registry, files

    read_ahead: int = 2  # batches asked of a link at once: its reader is not woken for each
    batch: int = 8  # messages that a dispatcher's link hands over at once, at most
    own_batch: int = 64  # and a link that the node made: all runs speak on the one to the worker pool
    turn: int = 32  # inputs taken in one turn where so many wait: their effects on a link are one write
    load_span: int = 40 * MS  # the share of time that inputs take is told anew after this
    rest_from: float = 0.2  # where they take more of the time than this, the thread rests between turns
    rest: int = 2 * MS  # for so long: what comes meanwhile is taken in one turn

    open_rpcs: int = 32  # on one connection
    body: int = 2 * 1024  # of an RPC
    kept_results: int = 16 * 1024 * 1024  # bytes of results that may still be shared

    figures: int = 25 * MS  # a timer waits this long for the gauges
    connect: int = 1 * SECOND  # an attempt to connect is given up after this
    pool_again: int = 50 * MS  # between tries to reach the worker pool
    pool_moves: int = 250 * MS  # the old link to a worker pool that moves is left after this at the latest
    same_start: int = 1 * SECOND  # starts told of the worker pool that lie this close are one
    log_again: int = 10 * SECOND  # between lines on faults of one party
    store_idle: int = 1 * SECOND  # the store closes idle connections after 10 s; the node does so before
    store_calls: int = 200  # made on one link to the store, one after the other
    report: int = 300 * MS  # between reports to the registry: it forgets after 3 s, and some are lost
    late_read: int = 1 * SECOND  # an RPC read this long past its deadline is still known as a repeat
    hint: int = 600 * SECOND  # the longest run that an RPC may tell to expect
    ahead: int = 1 * SECOND  # an RPC stamped further ahead of the clock than this is no RPC
    check_idle: int = 5 * SECOND  # a connection that carried health checks is closed after this silence
    silent: int = 500 * MS  # where connections are many, those silent for this long make room for new ones
    unused: int = 1500 * MS  # a connection that carried no message is told to close after this
    unused_closing: int = 250 * MS  # and closed after this: what crosses is sent once more elsewhere
    closing: int = 2 * SECOND  # a dispatcher told of a close is given this long
    crossing: int = 50 * MS  # for so long a request may cross a close: the protocol has it sent once more
    finish_again: int = 20 * MS  # between tries to close where something was on its way
    half: int = 1 * SECOND  # one that holds back the rest of a message is given this long more
    discard: int = 256 * 1024  # bytes read past, to let answers out before a close, from one that goes on
    linger: int = 1 * SECOND  # the far side's end is awaited this long after the last byte
    send: int = 30 * SECOND  # a write that makes no headway for this long breaks the link
    accept_pause: int = 50 * MS  # when descriptors run out
    unready_look: int = 40 * MS  # between looks at the end, without a worker pool to run anything
    last_look: int = 100 * MS  # between the end of listening and the end
    quiet: int = 1 * SECOND  # without any connection after the grace: the node may end

    @classmethod
    def of(cls, told, stop_ms):
        """From the configuration's `limits` and `stop_ms`."""
        memory = int(told["memory_mb"] * 2**20)
        return cls(
            memory=memory,
            descriptors=int(told["sockets"]),
            stop=int(stop_ms * 1000),
            kept_results=min(cls.kept_results, memory // 8),
        )

    @property
    def connections(self):
        """Of dispatchers, as descriptors and memory allow."""
        room = (self.memory - self.base) // self.connection
        return min(max(self.descriptors // 2, self.descriptors - self.reserve), max(8, room))

    @property
    def accepted(self):
        """Connections that may be open at a moment: those, and a few that are on their way out. The rest is
        the node's own: three quarters of the descriptors that dispatchers don't get."""
        few = min((self.descriptors - self.connections) // 4, self.connections // 8)
        return self.connections + max(1, few)

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
    stop_timeout: int  # from the notice to leave until the kill

    base_memory: int = (
        20 * 2**20
    )  # what the process takes besides connections: 14 MB measured, and kept state
    connection_memory: int = (
        64 * 1024
    )  # what one takes, 49 KB measured: two threads, a buffer, queued answers
    thread_stack: int = 128 * 1024  # of each thread
    buffer_size: int = 16 * 1024  # the one size of buffers: the longest message that is read
    spare_buffers: int = 64  # kept for reuse; more are let go
    backlog: int = 1024  # connections that wait to be accepted
    reserved_descriptors: int = (
        64  # descriptors kept from dispatchers: listener, pool, store, registry, files
    )

    read_ahead: int = 2  # batches asked of a link at once: its reader is not woken for each
    frontend_batch: int = 8  # messages that a dispatcher's link hands over at once, at most
    outbound_batch: int = 64  # and a link that the node made: all runs speak on the one to the worker pool
    turn_inputs: int = (
        32  # inputs taken in one turn where so many wait: their effects on a link are one write
    )
    load_interval: int = 40 * MS  # the share of time that inputs take is told anew after this
    busy_threshold: float = 0.2  # where they take more of the time than this, the thread rests between turns
    busy_pause: int = 2 * MS  # for so long: what comes meanwhile is taken in one turn

    open_rpcs: int = 32  # on one connection
    body_size: int = 2 * 1024  # of an RPC
    cached_results: int = 16 * 1024 * 1024  # bytes of results that may still be shared

    gauges_timeout: int = 25 * MS  # a timer waits this long for the gauges
    connect_timeout: int = 1 * SECOND  # an attempt to connect is given up after this
    pool_retry_interval: int = 50 * MS  # between tries to reach the worker pool
    pool_move_timeout: int = (
        250 * MS
    )  # the old link to a worker pool that moves is left after this at the latest
    pool_start_tolerance: int = 1 * SECOND  # starts told of the worker pool that lie this close are one
    log_interval: int = 10 * SECOND  # between lines on faults of one party
    store_idle_timeout: int = (
        1 * SECOND
    )  # the store closes idle connections after 10 s; the node does so before
    calls_per_store_connection: int = 200  # made on one link to the store, one after the other
    registration_interval: int = (
        300 * MS
    )  # between reports to the registry: it forgets after 3 s, and some are lost
    late_read_grace: int = 1 * SECOND  # an RPC read this long past its deadline is still known as a repeat
    max_expected_run: int = 600 * SECOND  # the longest run that an RPC may tell to expect
    max_clock_lead: int = 1 * SECOND  # an RPC stamped further ahead of the clock than this is no RPC
    health_check_idle_timeout: int = (
        5 * SECOND
    )  # a connection that carried health checks is closed after this silence
    silent_timeout: int = (
        500 * MS
    )  # where connections are many, those silent for this long make room for new ones
    unused_timeout: int = 1500 * MS  # a connection that carried no message is told to close after this
    unused_close_delay: int = 250 * MS  # and closed after this: what crosses is sent once more elsewhere
    close_delay: int = 2 * SECOND  # a dispatcher told of a close is given this long
    crossing_window: int = (
        50 * MS
    )  # for so long a request may cross a close: the protocol has it sent once more
    close_retry_interval: int = 20 * MS  # between tries to close where something was on its way
    partial_message_timeout: int = (
        1 * SECOND
    )  # one that holds back the rest of a message is given this long more
    discard_size: int = (
        256 * 1024
    )  # bytes read past, to let answers out before a close, from one that goes on
    linger_timeout: int = 1 * SECOND  # the far side's end is awaited this long after the last byte
    send_timeout: int = 30 * SECOND  # a write that makes no headway for this long breaks the link
    accept_retry_delay: int = 50 * MS  # when descriptors run out
    unready_check_interval: int = 40 * MS  # between looks at the end, without a worker pool to run anything
    final_check_delay: int = 100 * MS  # between the end of listening and the end
    quiet_period: int = 1 * SECOND  # without any connection after the grace: the node may end

    @classmethod
    def of(cls, told, stop_ms):
        """From the configuration's `limits` and `stop_ms`."""
        memory = int(told["memory_mb"] * 2**20)
        return cls(
            memory=memory,
            descriptors=int(told["sockets"]),
            stop_timeout=int(stop_ms * 1000),
            cached_results=min(cls.cached_results, memory // 8),
        )

    @property
    def max_connections(self):
        """Of dispatchers, as descriptors and memory allow."""
        room = (self.memory - self.base_memory) // self.connection_memory
        return min(max(self.descriptors // 2, self.descriptors - self.reserved_descriptors), max(8, room))

    @property
    def max_accepted(self):
        """Connections that may be open at a moment: those, and a few that are on their way out. The rest is
        the node's own: three quarters of the descriptors that dispatchers don't get."""
        few = min((self.descriptors - self.max_connections) // 4, self.max_connections // 8)
        return self.max_connections + max(1, few)

"""All sizes, counts and times of the real node, in one type.

Owns the figures by which the node bounds itself; filled once at start from the configuration and handed down.
It must never hold a figure that decides about RPCs: those live in finchcart/decisions/controller.py alone.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Self

MS = 1_000
SECOND = 1_000_000

MOST_AWAITED_DEADLINE = 3 * SECOND  # the terms of the platform: how early a kill may follow the notice
KILL_DELAY = 700 * MS


@dataclass(frozen=True)
class Limits:
    """Times are whole microseconds, sizes bytes. Those without a default come from the configuration."""

    memory: int  # that the node may take
    descriptors: int  # open files and sockets
    stop_timeout: int  # from the notice to leave until the kill may come

    # Memory and descriptors
    base_memory: int = 20 * 2**20  # of the process without connections: 14 MB measured, and cached results
    connection_memory: int = 64 * 1024  # of one, 49 KB measured: two threads, a buffer, queued answers
    thread_stack: int = 128 * 1024
    buffer_size: int = 16 * 1024  # the one size of buffers: the longest message that is read
    spare_buffers: int = 64  # kept for reuse; more are let go
    backlog: int = 1024  # connections that wait to be accepted
    reserved_descriptors: int = 64  # kept from dispatchers: listener, worker pool, store, registry, files
    cached_results: int = 16 * 1024 * 1024  # of results that duplicates may still get

    # The event loop
    read_ahead: int = 2  # batches requested of a connection at once: its reader is not woken for each
    frontend_batch: int = 8  # messages that a dispatcher's connection delivers at once, at most
    outbound_batch: int = 64  # and one that the node opened: all runs share the one to the worker pool
    turn_inputs: int = 32  # processed in one turn where so many wait: what they send is one write
    turn_gap: int = 500 * MS  # the loop takes turns more often than this, unless the process was held up
    load_interval: int = 40 * MS  # between measurements of the part of time that inputs take
    busy_threshold: float = 0.2  # where they take more of the time than this, the loop pauses between turns
    busy_pause: int = 2 * MS  # for so long: what comes meanwhile is processed in one turn
    log_interval: int = 10 * SECOND  # between lines on faults of one party

    # RPCs
    open_rpcs: int = 32  # on one connection
    body_size: int = 2 * 1024
    late_read_grace: int = 1 * SECOND  # an RPC read this long past its deadline is still known as a duplicate
    max_expected_run: int = 600 * SECOND  # the longest run that an RPC may announce
    max_clock_lead: int = 1 * SECOND  # an RPC stamped further ahead of the clock than this is not valid

    # Worker pool, store and registry
    gauges_timeout: int = 25 * MS  # a timer waits this long for the gauges
    connect_timeout: int = 1 * SECOND
    pool_retry_interval: int = 5 * MS  # the first pause before the worker pool is connected to again
    pool_longest_pause: int = 50 * MS  # pauses double up to this while connections don't hold
    pool_steady_time: int = 50 * MS  # a connection that held for so long is followed by the next at once
    pool_move_timeout: int = 250 * MS  # the connection to an old address is left after this at the latest
    pool_start_tolerance: int = 1 * SECOND  # starts reported of the worker pool this close together are one
    store_idle_timeout: int = 1 * SECOND  # the store closes idle connections after 10 s; the node does before
    calls_per_store_connection: int = 200  # one after the other
    registration_interval: int = (
        300 * MS
    )  # between reports: the registry forgets after 3 s, and some are lost

    # Closing connections of dispatchers
    health_check_idle_timeout: int = 5 * SECOND  # one that carried health checks is closed after this silence
    silent_timeout: int = 500 * MS  # where connections are many, those silent for this long make room
    unused_timeout: int = 1500 * MS  # one that carried no message is announced to be closed after this
    unused_close_delay: int = 250 * MS  # and closed after this: what crosses is sent once more elsewhere
    close_delay: int = 2 * SECOND  # a dispatcher that was told of a close has this long
    crossing_window: int = 50 * MS  # a request may cross a close for so long: it is sent once more
    close_retry_interval: int = 20 * MS  # between attempts to close where something was on its way
    partial_message_timeout: int = 1 * SECOND  # one that holds back the rest of a message has this long more
    discard_size: int = 256 * 1024  # read past from one that goes on, to let answers out before a close
    linger_timeout: int = 1 * SECOND  # the peer's end is awaited this long after the last byte
    send_timeout: int = 30 * SECOND  # a write that makes no progress for this long breaks the connection
    accept_retry_delay: int = 50 * MS  # the longest pause when descriptors run out

    # The end of the process
    kill_margin: int = 100 * MS  # the node has ended so long before the kill may come
    exit_time: int = 60 * MS  # from the decision to end until the process is gone: more on a busy machine
    leave_period: int = 600 * MS  # before its end every connection is announced to close, busy ones too
    finish_period: int = 300 * MS  # before its end nobody is accepted, what is open closes between two RPCs
    finish_retry_interval: int = 4 * MS  # between attempts to close then
    unready_check_interval: int = 40 * MS  # between checks for the end without a worker pool
    final_check_delay: int = 100 * MS  # between the end of listening and the end
    quiet_period: int = 1 * SECOND  # without any connection after the grace: the node may end

    @classmethod
    def from_config(cls, limits: Mapping[str, Any], stop_ms: float, longest_deadline: int) -> Self:
        """Make them of the configuration's `limits` and `stop_ms`. Raise KeyError where one is missing.

        The kill may come after `stop_ms`, and as early as the longest deadline of a method, of which no more
        than `MOST_AWAITED_DEADLINE` counts, and `KILL_DELAY`.
        """
        earliest_kill = min(longest_deadline, MOST_AWAITED_DEADLINE) + KILL_DELAY
        memory = int(limits["memory_mb"] * 2**20)
        return cls(
            memory=memory,
            descriptors=int(limits["sockets"]),
            stop_timeout=min(int(stop_ms * MS), earliest_kill),
            cached_results=min(cls.cached_results, memory // 8),
        )

    @property
    def max_connections(self) -> int:
        """Connections of dispatchers, as descriptors and memory allow."""
        by_descriptors = max(self.descriptors // 2, self.descriptors - self.reserved_descriptors)
        by_memory = (self.memory - self.base_memory) // self.connection_memory
        return min(by_descriptors, max(8, by_memory))

    @property
    def max_accepted(self) -> int:
        """Connections that may be open at a moment: those, and a few that are on their way out.

        The rest is the node's own: three quarters of the descriptors that dispatchers don't get.
        """
        leaving = min((self.descriptors - self.max_connections) // 4, self.max_connections // 8)
        return self.max_connections + max(1, leaving)

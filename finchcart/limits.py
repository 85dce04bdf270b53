"""All sizes, counts and times of the real node, in one type.

Owns the figures by which the node bounds itself; filled once at start from the configuration and handed down.
It must never hold a figure that decides about RPCs: those stand in finchcart/decisions/ alone.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple, Self

MS = 1_000
SECOND = 1_000_000

# The platform's contract: a kill may follow the notice to leave after the longest deadline of a method, of
# which no more than this counts, and a delay.
MAX_COUNTED_DEADLINE_US = 3 * SECOND
KILL_DELAY_US = 700 * MS

MAX_CACHED_RESULTS_BYTES = 16 * 1024 * 1024
CACHED_RESULTS_DIVISOR = 8  # cached results take no more than this part of the memory
MIN_CONNECTIONS = 8  # however little memory there is


class Limits(NamedTuple):
    """The figures. Those without a default come from the configuration; a name without a unit is a count."""

    memory_bytes: int  # that the node may take
    descriptors: int  # open files and sockets
    stop_timeout_us: int  # from the notice to leave until the kill may come

    # Memory and descriptors
    base_memory_bytes: int = 20 * 2**20  # of the process without connections, with cached results
    connection_memory_bytes: int = 64 * 1024  # of one: two threads, a buffer, queued answers
    thread_stack_bytes: int = 128 * 1024
    buffer_bytes: int = 16 * 1024  # of each buffer: the longest message that is read
    spare_buffers: int = 64  # kept for reuse; more are freed
    backlog: int = 1024  # connections that wait to be accepted
    reserved_descriptors: int = 64  # not for dispatchers: listener, worker pool, store, registry, files
    cached_results_bytes: int = MAX_CACHED_RESULTS_BYTES  # of results that duplicates may still get

    # The event loop
    read_ahead: int = 2  # batches requested of a connection at once: its reader is not woken for each
    frontend_batch: int = 8  # messages that a dispatcher's connection delivers at once, at most
    outbound_batch: int = 64  # the same of one that the node opened: all runs share one
    max_turn_inputs: int = 32  # processed in one turn at most: all that they send is one write
    suspension_gap_us: int = 500 * MS  # longer between two turns means that the process was suspended
    load_interval_us: int = 40 * MS  # between measurements of the part of time that inputs take
    busy_threshold: float = 0.2  # above this part of the time the loop pauses between turns
    busy_pause_us: int = 2 * MS  # the pause; what comes meanwhile is processed in one turn
    log_interval_us: int = 10 * SECOND  # between lines on faults of one party

    # RPCs
    open_rpcs: int = 32  # on one connection
    max_body_bytes: int = 2 * 1024
    late_read_grace_us: int = 1 * SECOND  # an RPC may be read so long past its deadline as a duplicate
    max_expected_run_us: int = 600 * SECOND  # the longest run that an RPC may announce
    max_clock_lead_us: int = 1 * SECOND  # an RPC stamped further ahead of the clock than this is not valid

    # Worker pool, store and registry
    gauges_timeout_us: int = 25 * MS  # a timer waits this long for the gauges
    connect_timeout_us: int = 1 * SECOND
    pool_min_retry_delay_us: int = 5 * MS  # the first pause before the worker pool is connected to again
    pool_max_retry_delay_us: int = 50 * MS  # pauses double up to this while connections don't hold
    pool_stable_after_us: int = 50 * MS  # one that held for so long is followed by the next without a pause
    pool_move_timeout_us: int = 250 * MS  # to end what is under way at an old address
    pool_start_tolerance_us: int = 1 * SECOND  # starts of the worker pool this close together are one
    store_idle_timeout_us: int = 1 * SECOND  # shorter than the 10 s of the store
    calls_per_store_connection: int = 200  # one after the other
    registration_interval_us: int = 300 * MS  # the registry forgets after 3 s, and some reports are lost

    # Closing connections of dispatchers
    health_check_idle_timeout_us: int = 5 * SECOND  # of one that carried health checks
    silent_timeout_us: int = 500 * MS  # where connections are many, those silent for so long are closed
    unused_timeout_us: int = 1500 * MS  # the close of one that carried no message is announced after this
    unused_close_delay_us: int = 250 * MS  # and follows after this: what crosses is sent once more elsewhere
    close_delay_us: int = 2 * SECOND  # from the notice of a close until the close
    crossing_window_us: int = 50 * MS  # a request may cross a close for so long: it is sent once more
    close_retry_interval_us: int = 20 * MS  # between attempts to close where something was on its way
    partial_message_timeout_us: int = 1 * SECOND  # for the rest of a message that has begun
    max_discarded_bytes: int = 256 * 1024  # of what is still sent, so that answers go out before a close
    linger_timeout_us: int = 1 * SECOND  # wait for the peer's close after the last byte
    send_timeout_us: int = 30 * SECOND  # without progress of a write; then the connection is broken
    accept_retry_delay_us: int = 50 * MS  # the longest pause when descriptors run out

    # The end of the process
    kill_margin_us: int = 100 * MS  # the node has ended so long before the kill may come
    exit_time_us: int = 60 * MS  # from the decision to end until the process is gone
    finish_period_us: int = 600 * MS  # before its end none is accepted, and all dispatchers are to close
    finish_retry_interval_us: int = 4 * MS  # between attempts to close at the end
    unready_check_interval_us: int = 40 * MS  # between checks for the end without a worker pool
    final_check_delay_us: int = 100 * MS  # between the end of listening and the end
    quiet_period_us: int = 1 * SECOND  # without any connection after the grace: the node may end

    @classmethod
    def from_config(cls, limits: Mapping[str, Any], stop_ms: float, longest_deadline_us: int) -> Self:
        """Return the limits of a configuration, of its keys `limits` and `stop_ms`.

        `longest_deadline_us`: of all methods. Raise KeyError where a key is missing.
        """
        earliest_kill_us = min(longest_deadline_us, MAX_COUNTED_DEADLINE_US) + KILL_DELAY_US
        memory_bytes = int(limits["memory_mb"] * 2**20)
        return cls(
            memory_bytes=memory_bytes,
            descriptors=int(limits["sockets"]),
            stop_timeout_us=min(int(stop_ms * MS), earliest_kill_us),
            cached_results_bytes=min(MAX_CACHED_RESULTS_BYTES, memory_bytes // CACHED_RESULTS_DIVISOR),
        )

    @property
    def max_connections(self) -> int:
        """Return how many connections of dispatchers descriptors and memory allow."""
        by_descriptors = max(self.descriptors // 2, self.descriptors - self.reserved_descriptors)
        by_memory = (self.memory_bytes - self.base_memory_bytes) // self.connection_memory_bytes
        return min(by_descriptors, max(MIN_CONNECTIONS, by_memory))

    @property
    def max_accepted(self) -> int:
        """Return how many may be open at once: `max_connections`, and a few that are closing.

        Three quarters of the descriptors beyond `max_connections` stay the node's own.
        """
        closing = min((self.descriptors - self.max_connections) // 4, self.max_connections // 8)
        return self.max_connections + max(1, closing)

"""All sizes, counts and times that bound a real node, in one type.

The limits are filled once at start from the configuration and then passed on as a value. Values that affect
decisions about RPCs must not be defined here; they belong to finchcart/decisions/.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple, Self

MS = 1_000
SECOND = 1_000_000

# The platform waits for a time after the drain notice before it may kill a node. This time is the longest
# deadline of all methods, or MAX_COUNTED_DEADLINE_US if that is shorter, plus KILL_DELAY_US.
MAX_COUNTED_DEADLINE_US = 3 * SECOND
KILL_DELAY_US = 700 * MS

MAX_CACHED_RESULTS_BYTES = 16 * 1024 * 1024
CACHED_RESULTS_DIVISOR = 8  # cached results may use at most one eighth of the memory
MIN_CONNECTIONS = 8  # allowed even if the memory is too small for them


class Limits(NamedTuple):
    """The limits of a node.

    Fields without a default come from the configuration. A field whose name has no unit is a count.
    """

    memory_bytes: int  # memory that the process may use
    descriptors: int  # files and sockets that the process may have open
    stop_timeout_us: int  # time from the drain notice until the earliest kill by the platform

    # ---- Memory and descriptors

    # Memory that the process uses without any connection, including the cached results.
    base_memory_bytes: int = 20 * 2**20
    connection_memory_bytes: int = 64 * 1024  # for two threads, a buffer and queued responses
    thread_stack_bytes: int = 128 * 1024
    buffer_bytes: int = 16 * 1024  # size of a receive buffer, and so the maximum size of a message
    spare_buffers: int = 64  # unused buffers that are kept for reuse; further ones are freed
    backlog: int = 1024  # connections that wait in the kernel to be accepted
    reserved_descriptors: int = 64  # kept for the listener, worker pool, store, registry and files
    cached_results_bytes: int = MAX_CACHED_RESULTS_BYTES  # memory for results that are kept for duplicates

    # ---- The event loop

    # Batches that are requested from a connection ahead of time, so that its reader thread need not be woken
    # for each batch.
    read_ahead: int = 2
    frontend_batch: int = 8  # maximum number of messages in a batch from a dispatcher's connection
    # Maximum number of messages in a batch from a connection that the node opened. It is larger because all
    # runs share one such connection.
    outbound_batch: int = 64
    # Maximum number of inputs that one turn of the event loop processes. All bytes that a turn sends on one
    # connection are one write.
    max_turn_inputs: int = 32
    suspension_gap_us: int = 500 * MS  # a longer gap between two turns means that the process was suspended
    # Interval at which the event loop measures the share of time that it spends on inputs.
    load_interval_us: int = 40 * MS
    busy_threshold: float = 0.2  # the loop pauses between turns while inputs take more than this share
    busy_pause_us: int = 2 * MS  # length of the pause; inputs that arrive in it are processed in one turn
    # Interval at which statistics are logged. The number of log lines on the faults of one kind of peer is
    # limited within an interval of the same length.
    log_interval_us: int = 10 * SECOND

    # ---- RPCs

    open_rpcs: int = 32  # maximum number of open RPCs on a connection
    max_body_bytes: int = 2 * 1024
    # How long past its deadline an RPC may still be read, as a duplicate.
    late_read_grace_us: int = 1 * SECOND
    max_expected_run_us: int = 600 * SECOND  # the longest expected run time that an RPC may announce
    max_clock_lead_us: int = 1 * SECOND  # an RPC whose timestamp is further in the future is invalid

    # ---- Worker pool, store and registry

    gauges_timeout_us: int = 25 * MS  # how long a timer event waits for the response with the gauges
    connect_timeout_us: int = 1 * SECOND
    # The delay before a reconnection to the worker pool doubles from the minimum up to the maximum. There is
    # no delay after the loss of a connection that was usable for at least `pool_stable_after_us`.
    pool_min_retry_delay_us: int = 5 * MS
    pool_max_retry_delay_us: int = 50 * MS
    pool_stable_after_us: int = 50 * MS
    # When the address of the worker pool changes, the node waits at most this long for the pool to confirm
    # that it has read all commands at the old address.
    pool_move_timeout_us: int = 250 * MS
    # A start time of the worker pool that is at most this much later than the known one counts as the same
    # start.
    pool_start_tolerance_us: int = 1 * SECOND
    store_idle_timeout_us: int = 1 * SECOND  # shorter than the store's own idle timeout of 10 s
    calls_per_store_connection: int = 200  # a connection to the store is closed after so many calls
    # The registry removes a node after 3 s without a report. The interval is much shorter because some
    # reports are lost.
    registration_interval_us: int = 300 * MS

    # ---- Closing connections of dispatchers

    health_check_idle_timeout_us: int = 5 * SECOND  # idle timeout of a connection with health checks
    silent_timeout_us: int = 500 * MS  # idle time after which connections are closed while many are open
    # If a new connection has carried no message for this time, the node announces its close.
    unused_timeout_us: int = 1500 * MS
    # Time between the announcement and the close of an unused connection. A dispatcher sends a request that
    # crosses the close to another node.
    unused_close_delay_us: int = 250 * MS
    close_delay_us: int = 2 * SECOND  # time between the announcement and the close of any other connection
    # Assumed maximum time that a request is in transit while the connection closes. The dispatcher sends such
    # a request again.
    crossing_window_us: int = 50 * MS
    # Interval between attempts to close a connection on which data is still in transit.
    close_retry_interval_us: int = 20 * MS
    partial_message_timeout_us: int = 1 * SECOND  # an incomplete message delays a close for at most this time
    # Maximum number of bytes from the peer that are read and discarded before a close. Closing a socket with
    # unread bytes would reset the connection, and pending responses would be lost.
    max_discarded_bytes: int = 256 * 1024
    linger_timeout_us: int = 1 * SECOND  # how long the node waits for the peer's close after its last byte
    send_timeout_us: int = 30 * SECOND  # a write that makes no progress for so long breaks the connection
    accept_retry_delay_us: int = 50 * MS  # maximum delay between attempts while descriptors are exhausted

    # ---- Shutdown

    kill_margin_us: int = 100 * MS  # the shutdown is planned to end this long before the earliest kill
    exit_time_us: int = 60 * MS  # time that the process takes to exit once the node has decided to end
    # Time before the planned end at which a node stops accepting connections and tells all dispatchers to
    # close their connections.
    finish_period_us: int = 600 * MS
    # Interval between attempts to close connections at the planned end.
    finish_retry_interval_us: int = 4 * MS
    # Interval at which a node that drains without a worker pool checks whether it can end.
    unready_check_interval_us: int = 40 * MS
    # After the grace period, a node that was idle for `quiet_period_us` stops listening. The node ends if it
    # is still idle `final_check_delay_us` later.
    final_check_delay_us: int = 100 * MS
    quiet_period_us: int = 1 * SECOND

    @classmethod
    def from_config(cls, limits: Mapping[str, Any], stop_ms: float, longest_deadline_us: int) -> Self:
        """Return the limits that the keys `limits` and `stop_ms` of a configuration describe.

        `longest_deadline_us` is the longest deadline of all methods. Raise KeyError if a key is missing.
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
        """Return how many connections of dispatchers the descriptors and the memory allow."""
        by_descriptors = max(self.descriptors // 2, self.descriptors - self.reserved_descriptors)
        by_memory = (self.memory_bytes - self.base_memory_bytes) // self.connection_memory_bytes
        return min(by_descriptors, max(MIN_CONNECTIONS, by_memory))

    @property
    def max_accepted(self) -> int:
        """Return how many sockets of dispatchers may be open: `max_connections`, and some that are closing.

        Closing connections may use a quarter of the descriptors beyond `max_connections`; the rest stays
        reserved for the node itself.
        """
        closing = min((self.descriptors - self.max_connections) // 4, self.max_connections // 8)
        return self.max_connections + max(1, closing)

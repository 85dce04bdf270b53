"""Polls of the gauges of the worker pool, for the timers of the decision module and to confirm commands.

`GaugePolls` owns the number of the last poll and the timers that wait for an answer. The answer to a poll
also proves that the worker pool has read all commands that were written before the poll; command_journal.py
relies on this. `GaugePolls` must never delay a timer for longer than the time limit of a poll.
"""

from collections.abc import Mapping, Sequence

from finchcart.limits import Limits
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.worker_pool.connection import ConnectionState, PoolConnection
from finchcart.node.worker_pool.listeners import PoolListener
from finchcart.protocol import worker_pool_codec


class GaugePolls:
    """The pending polls by ticket.

    Bounds: one poll for each timer, which is removed by its answer or at its time limit.
    """

    def __init__(
        self,
        effect_buffer: EffectBuffer,
        limits: Limits,
        gauge_names: Sequence[str],
        connection: PoolConnection,
        listener: PoolListener,
    ) -> None:
        self.effect_buffer = effect_buffer
        self.last_ticket = 0
        self.pending_timers: set[str] = set()  # tickets of the polls whose answer a timer waits for
        self._timeout_us = limits.gauges_timeout_us
        self._gauge_names = gauge_names
        self._connection = connection
        self._listener = listener

    def poll(self) -> str:
        """Request the gauges; return the ticket that identifies the answer."""
        self.last_ticket += 1
        ticket = str(self.last_ticket)
        self._connection.send(worker_pool_codec.encode_gauges_request(ticket))
        return ticket

    def on_timer(self) -> None:
        """Handle a due timer of the decision module.

        The listener receives the timer with the values of the gauges, or without them if they do not arrive
        in time.
        """
        if self._connection.state is ConnectionState.BOUND and not self._connection.write_blocked:
            ticket = self.poll()
            self.pending_timers.add(ticket)
            self.effect_buffer.schedule(self.effect_buffer.now + self._timeout_us, self._complete, ticket, {})
        else:
            self._listener.timer_due({})

    def answered(self, ticket: str, values: Sequence[float]) -> None:
        """Handle the values of the gauges, which are in the order of the configured names."""
        self._complete(ticket, dict(zip(self._gauge_names, values, strict=False)))

    def _complete(self, ticket: str, readings: Mapping[str, float]) -> None:
        if ticket in self.pending_timers:
            self.pending_timers.remove(ticket)
            self._listener.timer_due(readings)

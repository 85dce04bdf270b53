"""The adapter process: holds all instances, reads batches of events and writes the response to each batch.

This module checks the order of messages. If the decision module of one instance raises an exception, only
that instance fails; the others continue.
"""

import traceback
from collections.abc import Iterable
from typing import TextIO

from finchcart import settings
from finchcart.simulator import codec
from finchcart.simulator.codec import WireError
from finchcart.simulator.events import (
    BatchEnded,
    BatchStarted,
    Event,
    InstanceEvent,
    InstanceKilled,
    InstanceStarted,
)
from finchcart.simulator.instance import SimulatorInstance


class SimulatorHost:
    """Holds the instances and the batch that is being read: its time and the lines of its response."""

    def __init__(self, sink: TextIO) -> None:
        """Create a host without instances that writes its responses to `sink`."""
        self.sink = sink
        self.instances: dict[int, SimulatorInstance] = {}  # by instance number of the protocol
        self.response_lines: list[str] = []
        self.now: int | None = None  # the time of the open batch; None between two batches

    def handle(self, event: Event) -> None:
        """Handle one event. Raise WireError if the event is out of order."""
        if isinstance(event, BatchStarted):
            if self.now is not None:
                raise codec.out_of_order_error(event, batch_is_open=True)
            self.now = event.now
        elif self.now is None:
            raise codec.out_of_order_error(event, batch_is_open=False)
        elif isinstance(event, BatchEnded):
            self._write_response()
        else:
            self._handle_instance_event(self.now, event)

    def _write_response(self) -> None:
        self.response_lines.append(codec.RESPONSE_END)
        self.sink.write("\n".join(self.response_lines) + "\n")
        self.sink.flush()
        self.response_lines.clear()
        self.now = None

    def _handle_instance_event(
        self, now: int, event: InstanceStarted | InstanceKilled | InstanceEvent
    ) -> None:
        number = event.instance
        if number not in self.instances and not isinstance(event, InstanceStarted):
            raise codec.unknown_instance_error(event, number)
        if isinstance(event, InstanceKilled):
            del self.instances[number]
            return
        try:
            if isinstance(event, InstanceStarted):
                self._start(now, event)
            elif not self.instances[number].failed:
                self.instances[number].handle(now, event)
        except Exception as error:
            # Any exception of one instance is confined to that instance; the others must continue.
            traceback.print_exc()
            self._report_failure(number, error)

    def _start(self, now: int, event: InstanceStarted) -> None:
        node_settings = settings.from_pairs(event.settings)
        instance = SimulatorInstance(event.instance, self.response_lines.append, node_settings, event.seed)
        self.instances[event.instance] = instance
        instance.controller.start(now)

    def _report_failure(self, number: int, error: Exception) -> None:
        if number in self.instances:
            self.instances[number].failed = True
        self.response_lines.append(codec.instance_failed(number, error))


def serve(source: Iterable[str], sink: TextIO) -> None:
    """Respond to batches until the input ends.

    Raise WireError, whose text begins with the line number, for invalid input.
    """
    host = SimulatorHost(sink)
    line_number = 0
    for line_number, line in enumerate(source, start=1):
        text = line.rstrip("\r\n")
        if not text:
            continue
        try:
            host.handle(codec.parse_line(text))
        except WireError as error:
            raise WireError(f"line {line_number}: {error}") from None
    if host.now is not None:
        raise WireError(f"line {line_number}: {codec.unfinished_batch_error()}")

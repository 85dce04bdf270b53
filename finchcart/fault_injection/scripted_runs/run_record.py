"""What a run came to: events, and facts for the report."""

from typing import NamedTuple

from finchcart.fault_injection.scripted_runs.checker import Event

Facts = dict  # written into results.json as it is


class ScriptedRunRecord(NamedTuple):
    """The record of one run, on processes or on the virtual clock."""

    events: list[Event]
    start: int  # the run's zero on the clock, microseconds
    facts: Facts

"""Define the record of a scripted run: its events, and figures for the report."""

from typing import NamedTuple

from finchcart.fault_injection.scripted_runs.checker import Event

Facts = dict  # the figures for the report, written into results.json unchanged


class ScriptedRunRecord(NamedTuple):
    """The record of one run, on processes or on the virtual clock."""

    events: list[Event]
    start: int  # the start of the run on its clock, in microseconds
    facts: Facts

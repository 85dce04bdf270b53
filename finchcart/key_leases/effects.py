"""The effect of a key lease client, besides those of finchcart/fleet/effects.py.

Owns its type alone.
"""

from typing import NamedTuple

from finchcart.key_leases.messages import LeaseStatus


class LeaseAnswer(NamedTuple):
    """The answer to the demand for a key's lease.

    `GRANTED`: command the run before `run_before`, or not at all. `COMPLETED`: `result` is of a run
    elsewhere. `HELD`: it runs elsewhere and did not end in time. `UNAVAILABLE`: no quorum, or no room: it
    never ran here. `FAILED` and `PAYLOAD_MISMATCH` as in `LeaseStatus`.
    """

    key: bytes
    status: LeaseStatus
    result: bytes
    run_before: int | None  # microseconds on the boot clock, with `GRANTED`

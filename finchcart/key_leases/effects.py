"""The effect that a key lease client emits in addition to those of finchcart/fleet/effects.py."""

from typing import NamedTuple

from finchcart.key_leases.messages import LeaseStatus


class LeaseAnswer(NamedTuple):
    """The answer to the request for a key's lease.

    - `GRANTED`: the run must be commanded before `run_before`, or not at all.
    - `COMPLETED`: another run of the key has completed with `result`.
    - `HELD`: another node runs the key, and its run did not end within `outcome_timeout`.
    - `UNAVAILABLE`: no quorum, or no capacity for another lease; the key was not run for this request.
    - `FAILED` and `PAYLOAD_MISMATCH`: see `LeaseStatus`.
    """

    key: bytes
    status: LeaseStatus
    result: bytes
    run_before: int | None  # microseconds on the boot clock, with `GRANTED`

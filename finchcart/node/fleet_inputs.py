"""The one boundary between the core and the fleet's state machines.

Owns the conversion of what membership, quota, consensus and key leases emit into inputs of the core, and of
the core's commands into inputs of the key lease client. It must never be imported where no fleet is asked
for, nor keep anything.
"""

from finchcart.key_leases import wire
from finchcart.node.effects import (
    AbandonKeyLeaseRequest,
    KeyLeaseAction,
    ReleaseKeyLease,
    ReportRunEnded,
    RequestKeyLeases,
)
from finchcart.node.inputs import (
    AllocationGranted,
    ConsensusChanged,
    FleetInput,
    IsolationChanged,
    KeyLeaseAnswered,
    KeyLeaseOutcome,
    MemberChanged,
)

OUTCOMES = {
    wire.YES: KeyLeaseOutcome.GRANTED,
    wire.HELD: KeyLeaseOutcome.HELD_ELSEWHERE,
    wire.ENDED: KeyLeaseOutcome.ENDED,
    wire.FAILED: KeyLeaseOutcome.FAILED,
    wire.FULL: KeyLeaseOutcome.NO_MAJORITY,
    wire.OTHER_BODY: KeyLeaseOutcome.PAYLOAD_MISMATCH,
}


def fleet_input(change: tuple) -> FleetInput:
    """The input of the core for a change that a state machine of the fleet emitted, by its first word."""
    kind, *fields = change
    if kind == "allow":
        return AllocationGranted(*fields)
    if kind == "verdicts":
        (consensus,) = fields
        return ConsensusChanged(
            dependency_state=consensus["store"],
            ejected=consensus["out"],
            min_shed_level=consensus["level"],
            source_states=consensus["sources"],
        )
    if kind == "claimed":
        key, answer, result, run_by = fields
        return KeyLeaseAnswered(key, OUTCOMES[answer], result, run_by)
    if kind == "isolated":
        return IsolationChanged(fields[0])
    return MemberChanged(*fields[:3])


def key_lease_client_input(command: KeyLeaseAction) -> tuple:
    """The input of the key lease client for a command of the core."""
    if isinstance(command, RequestKeyLeases):
        return "claim", [tuple(request) for request in command.requests]
    if isinstance(command, ReportRunEnded):
        return "ended", command.key, wire.ENDED if command.succeeded else wire.FAILED, command.result
    if isinstance(command, ReleaseKeyLease):
        return "never", command.key
    if isinstance(command, AbandonKeyLeaseRequest):
        return "leave_it", command.key
    raise TypeError(f"key lease command: expected one of effects.py, found {type(command).__name__}")

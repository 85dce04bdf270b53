"""The one boundary between the core and the fleet's state machines.

Owns the conversion of what membership, quota, consensus and key leases emit into inputs of the core, and of
the core's commands into inputs of the key lease client. It must never be imported where no fleet is asked
for, nor keep anything.
"""

from finchcart.key_leases.messages import LeaseStatus
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
    FleetIsolationChanged,
    FleetMemberChanged,
    FleetMemberState,
    KeyLeaseAnswered,
    KeyLeaseOutcome,
)

OUTCOMES = {
    LeaseStatus.GRANTED: KeyLeaseOutcome.GRANTED,
    LeaseStatus.HELD: KeyLeaseOutcome.HELD_ELSEWHERE,
    LeaseStatus.COMPLETED: KeyLeaseOutcome.ENDED,
    LeaseStatus.FAILED: KeyLeaseOutcome.FAILED,
    LeaseStatus.UNAVAILABLE: KeyLeaseOutcome.NO_MAJORITY,
    LeaseStatus.PAYLOAD_MISMATCH: KeyLeaseOutcome.PAYLOAD_MISMATCH,
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
        return FleetIsolationChanged(fields[0])
    name, state, incarnation = fields[:3]
    return FleetMemberChanged(name, FleetMemberState(state), incarnation)


def key_lease_client_input(command: KeyLeaseAction) -> tuple:
    """The input of the key lease client for a command of the core."""
    if isinstance(command, RequestKeyLeases):
        return "claim", [tuple(request) for request in command.requests]
    if isinstance(command, ReportRunEnded):
        return (
            "ended",
            command.key,
            LeaseStatus.COMPLETED if command.succeeded else LeaseStatus.FAILED,
            command.result,
        )
    if isinstance(command, ReleaseKeyLease):
        return "never", command.key
    if isinstance(command, AbandonKeyLeaseRequest):
        return "leave_it", command.key
    raise TypeError(f"key lease command: expected one of effects.py, found {type(command).__name__}")

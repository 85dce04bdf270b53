"""The conversions between the core of a node and the state machines of the fleet.

`fleet_input` converts the effects of membership, quota, consensus and key leases to inputs of the core.
`key_lease_client_input` converts the commands of the core to inputs of the key lease client. No other module
may convert between them. This module must never keep state, and must never be imported if no fleet is
configured.
"""

from finchcart.consensus.effects import DecisionsChanged
from finchcart.fleet.effects import FleetEffect
from finchcart.key_leases.effects import LeaseAnswer
from finchcart.key_leases.inputs import (
    AbandonKeyLease,
    AcquireKeyLeases,
    ClientInput,
    KeyLeaseRunCancelled,
    KeyLeaseRunEnded,
)
from finchcart.key_leases.messages import LeaseStatus
from finchcart.membership import effects as membership_effects
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
from finchcart.quota.effects import LimitAllowance

KEY_LEASE_OUTCOMES = {
    LeaseStatus.GRANTED: KeyLeaseOutcome.GRANTED,
    LeaseStatus.HELD: KeyLeaseOutcome.HELD_ELSEWHERE,
    LeaseStatus.COMPLETED: KeyLeaseOutcome.ENDED,
    LeaseStatus.FAILED: KeyLeaseOutcome.FAILED,
    LeaseStatus.UNAVAILABLE: KeyLeaseOutcome.NO_MAJORITY,
    LeaseStatus.PAYLOAD_MISMATCH: KeyLeaseOutcome.PAYLOAD_MISMATCH,
}


def fleet_input(change: FleetEffect) -> FleetInput:
    """Return the input of the core for an effect that a state machine of the fleet emitted."""
    match change:
        case LimitAllowance():
            return AllocationGranted(*change)
        case DecisionsChanged(store, sources, is_ejected, minimum_level):
            return ConsensusChanged(store, is_ejected, minimum_level, sources)
        case LeaseAnswer(key, status, result, run_before):
            return KeyLeaseAnswered(key, KEY_LEASE_OUTCOMES[status], result, run_before)
        case membership_effects.IsolationChanged(is_isolated):
            return FleetIsolationChanged(is_isolated)
        case membership_effects.MemberChanged(name, state, incarnation):
            return FleetMemberChanged(name, FleetMemberState(state), incarnation)
    raise TypeError(f"effect of the fleet's state machines: unexpected type {type(change).__name__}")


def key_lease_client_input(command: KeyLeaseAction) -> ClientInput:
    """Return the input of the key lease client for a command of the core."""
    match command:
        case RequestKeyLeases(keys):
            return AcquireKeyLeases(keys)
        case ReportRunEnded(key, succeeded, result):
            return KeyLeaseRunEnded(key, LeaseStatus.COMPLETED if succeeded else LeaseStatus.FAILED, result)
        case ReleaseKeyLease(key):
            return KeyLeaseRunCancelled(key)
        case AbandonKeyLeaseRequest(key):
            return AbandonKeyLease(key)
    raise TypeError(f"key lease command: expected a type of node/effects.py, found {type(command).__name__}")

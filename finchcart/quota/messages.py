"""The messages between lease holders and planners, and among planners.

The module contains the fields of the messages and their limits, and must not act on a message. The order of
the fields and the tags are the wire format and must not change; the names of fields are not part of it.
"""

from typing import Annotated, NamedTuple

from msgspec import Meta, Struct

from finchcart.fleet.codec import MessageCodec, NodeName, Unsigned53, Unsigned64

CHANNEL = b"Q"
MAX_LIMITS = 16  # limits in one message
WEIGHT_SCALE = 100  # weights are sent as whole hundredths

Amount = Annotated[int, Meta(ge=0, le=2**31)]
Weight = Annotated[int, Meta(ge=1, le=10_000)]
LeaderAddress = Annotated[str, Meta(max_length=64)]  # empty if no leader is known


class Ballot(NamedTuple):
    """Orders the candidacies of planners; no two ballots are equal.

    The number of an elected ballot is the term.
    """

    number: Unsigned53
    session: Unsigned64  # session of the proposer


class AcceptedLease(NamedTuple):
    """An unexpired leader lease that an acceptor voted for."""

    ballot: Ballot
    owner: Unsigned64  # session of the proposer


class Prepare(Struct, array_like=True, frozen=True, tag=20):
    """Asks an acceptor to promise that it will accept no smaller ballot.

    `timing_digest` is a digest of the proposer's timing settings, see `QuotaConfig.timing_text`. The bounds
    would not hold between planners whose timing settings differ, so these don't vote for each other.
    """

    ballot: Ballot
    timing_digest: Unsigned64


class Promise(Struct, array_like=True, frozen=True, tag=21):
    """Promises to accept no smaller ballot; `accepted` is the acceptor's unexpired vote, if there is one."""

    ballot: Ballot
    accepted: AcceptedLease | None


class Propose(Struct, array_like=True, frozen=True, tag=22):
    """Asks an acceptor to vote for the lease of `owner`."""

    ballot: Ballot
    owner: Unsigned64


class Accept(Struct, array_like=True, frozen=True, tag=23):
    """Votes for the lease that was proposed with this ballot."""

    ballot: Ballot


class Reject(Struct, array_like=True, frozen=True, tag=24):
    """Rejects a ballot, because the acceptor has promised a greater one."""

    ballot: Ballot
    promised: Ballot


class LimitDemand(Struct, array_like=True, frozen=True):
    """A lease holder's report on one limit; the amounts are beyond its floor."""

    limit: NodeName
    term: Unsigned53  # term of the lease that the holder has
    number: Unsigned53  # number of that lease within its term; 0 if the holder has no lease
    in_use: Amount  # amount of the held lease, or more while calls in progress exceed that amount
    demand: Amount
    floor: Amount
    priority_demand: Amount = 0  # the part of `demand` that is more important than the rest
    weight: Weight = WEIGHT_SCALE


class LeaseRequest(Struct, array_like=True, frozen=True, tag=25):
    """A holder's request for leases of all its limits."""

    node: NodeName
    session: Unsigned64  # random number that differs between two processes with the same node name
    sequence: Unsigned53
    oldest_sequence: Unsigned53  # sequence of the oldest request whose answer the holder still accepts
    is_leaving: bool
    limits: Annotated[list[LimitDemand], Meta(max_length=MAX_LIMITS)]


class LimitLease(Struct, array_like=True, frozen=True):
    """A lease of an amount of one limit."""

    limit: NodeName
    number: Unsigned53  # number within the term; of two leases, the greater number is the newer
    amount: Amount  # leased amount, beyond the holder's floor
    duration_us: Unsigned53  # the holder counts it from before its request
    fleet_amount: Amount  # the whole limit in the planner's configuration


class LeaseGrant(Struct, array_like=True, frozen=True, tag=26):
    """The answer to the request `sequence` of the process `session`; `term` is the fencing token."""

    term: Unsigned53
    session: Unsigned64
    sequence: Unsigned53
    leases: Annotated[list[LimitLease], Meta(max_length=MAX_LIMITS)]


class Redirect(Struct, array_like=True, frozen=True, tag=27):
    """The answer of a planner that doesn't lead; `leader` is the planner to ask instead."""

    session: Unsigned64
    sequence: Unsigned53
    leader: LeaderAddress


class QuotaStatusRequest(Struct, array_like=True, frozen=True, tag=28):
    """A status request of the command line."""

    number: Unsigned53


class QuotaStatusResponse(Struct, array_like=True, frozen=True, tag=29):
    """The answer to the status request with the same number."""

    number: Unsigned53
    view: dict  # keys and values as the command line prints them


ElectionMessage = Prepare | Promise | Propose | Accept | Reject
QuotaMessage = (
    Prepare
    | Promise
    | Propose
    | Accept
    | Reject
    | LeaseRequest
    | LeaseGrant
    | Redirect
    | QuotaStatusRequest
    | QuotaStatusResponse
)
CODEC: MessageCodec[QuotaMessage] = MessageCodec(CHANNEL, QuotaMessage, (QuotaStatusRequest,))

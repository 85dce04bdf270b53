"""The messages between lease holders and planners, and between planners.

Owns their fields and limits. It must never act on a message. The order of the fields and the tags are the
wire format: they stay, whatever the fields are called.
"""

from typing import Annotated, NamedTuple

from msgspec import Meta, Struct

from finchcart.fleet.codec import MessageCodec, NodeName, Unsigned53, Unsigned64

CHANNEL = b"Q"
MAX_LIMITS = 16  # in one message
WEIGHT_SCALE = 100  # weights are sent as whole hundredths

Amount = Annotated[int, Meta(ge=0, le=2**31)]
Weight = Annotated[int, Meta(ge=1, le=10_000)]
LeaderAddress = Annotated[str, Meta(max_length=64)]  # empty where none is known


class Ballot(NamedTuple):
    """Orders the candidacies of planners: no two are alike. The number of an elected ballot is the term."""

    number: Unsigned53
    session: Unsigned64  # of the proposer's process


class AcceptedLease(NamedTuple):
    """A lease that an acceptor voted for and that is not over."""

    ballot: Ballot
    owner: Unsigned64  # session of the proposer


class Prepare(Struct, array_like=True, frozen=True, tag=20):
    """Ask for a promise to accept no lesser ballot.

    `timing_digest`: of the durations in the proposer's configuration. No bound holds where they differ, so
    planners with others do not vote for each other.
    """

    ballot: Ballot
    timing_digest: Unsigned64


class Promise(Struct, array_like=True, frozen=True, tag=21):
    """Accept no lesser ballot; with the lease that the acceptor voted for, if it is not over."""

    ballot: Ballot
    accepted: AcceptedLease | None


class Propose(Struct, array_like=True, frozen=True, tag=22):
    """Ask for a vote for the lease of `owner`."""

    ballot: Ballot
    owner: Unsigned64


class Accept(Struct, array_like=True, frozen=True, tag=23):
    """A vote for the lease proposed with that ballot."""

    ballot: Ballot


class Reject(Struct, array_like=True, frozen=True, tag=24):
    """A greater ballot was promised."""

    ballot: Ballot
    promised: Ballot


class LimitDemand(Struct, array_like=True, frozen=True):
    """What a lease holder reports of one limit; amounts are beyond its floor."""

    limit: NodeName
    term: Unsigned53  # of the lease that it holds
    number: Unsigned53  # of that lease; 0 for none
    in_use: Amount  # of that lease, or what is still in use of an earlier one
    demand: Amount
    floor: Amount
    priority_demand: Amount = 0  # the part of `demand` that matters more than the rest
    weight: Weight = WEIGHT_SCALE


class LeaseRequest(Struct, array_like=True, frozen=True, tag=25):
    """A holder's request for leases of all its limits."""

    node: NodeName
    session: Unsigned64  # drawn at the holder's start: tells two processes of one name apart
    sequence: Unsigned53
    oldest_sequence: Unsigned53  # of the requests whose answer the holder still takes
    is_leaving: bool
    limits: Annotated[list[LimitDemand], Meta(max_length=MAX_LIMITS)]


class LimitLease(Struct, array_like=True, frozen=True):
    """The lease of a part of one limit."""

    limit: NodeName
    number: Unsigned53  # within the term: the higher is the newer
    amount: Amount  # beyond the holder's floor
    duration_us: Unsigned53  # counted by the holder from before its request
    fleet_amount: Amount  # the whole limit as the planner has it


class LeaseGrant(Struct, array_like=True, frozen=True, tag=26):
    """The answer to the request `sequence` of the process `session`; the term is the fencing token."""

    term: Unsigned53
    session: Unsigned64
    sequence: Unsigned53
    leases: Annotated[list[LimitLease], Meta(max_length=MAX_LIMITS)]


class Redirect(Struct, array_like=True, frozen=True, tag=27):
    """The answer of a planner that does not lead."""

    session: Unsigned64
    sequence: Unsigned53
    leader: LeaderAddress


class QuotaStatusRequest(Struct, array_like=True, frozen=True, tag=28):
    """A question of the command line."""

    number: Unsigned53


class QuotaStatusResponse(Struct, array_like=True, frozen=True, tag=29):
    """The answer to a question of that number."""

    number: Unsigned53
    view: dict  # of keys and values as the command line prints them


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

"""What rides between holders and planners: typed structs, in datagrams of finchcart/membership/codec.py.

Owns the messages alone; see planner.py and holder.py for what they mean.
"""

from typing import Annotated

from msgspec import Meta, Struct

from finchcart.membership.codec import MessageCodec, NodeName, Unsigned53, Unsigned64

CHANNEL = b"Q"
Few = Annotated[int, Meta(ge=0, le=2**31)]
Ballot = tuple[Unsigned53, Unsigned64]  # a count, and the session of the planner who counts: no two are alike


class Prepare(Struct, array_like=True, frozen=True, tag=20):
    """Asks for a promise to take no lesser ballot. `times`: digest of the lives and waits of its settings.
    No bound holds where they differ: planners of other times do not vote for each other."""

    ballot: Ballot
    times: Unsigned64


class Promise(Struct, array_like=True, frozen=True, tag=21):
    """`holds`: (ballot, session of its owner) of the lease that was voted for and is not over, or None."""

    ballot: Ballot
    holds: tuple[Ballot, Unsigned64] | None


class Propose(Struct, array_like=True, frozen=True, tag=22):
    ballot: Ballot
    owner: Unsigned64


class Accept(Struct, array_like=True, frozen=True, tag=23):
    ballot: Ballot


class Refuse(Struct, array_like=True, frozen=True, tag=24):
    """A greater ballot was promised."""

    ballot: Ballot
    promised: Ballot


class Line(Struct, array_like=True, frozen=True):
    """What a holder says of one limit: the grant it uses, what it still uses of it, and what it wants in
    all."""

    limit: NodeName
    term: Unsigned53
    number: Unsigned53
    amount: Few
    wants: Few
    floor: Few
    first: Few = 0  # of `wants`, what matters more than the rest
    weight: Annotated[int, Meta(ge=1, le=10_000)] = 100


class Want(Struct, array_like=True, frozen=True, tag=25):
    """A holder's ask. `oldest`: the least of its asks whose answer it would still take."""

    name: NodeName
    session: Unsigned64
    seq: Unsigned53
    oldest: Unsigned53
    leaving: bool
    lines: Annotated[list[Line], Meta(max_length=16)]


class Part(Struct, array_like=True, frozen=True):
    """`life`: microseconds, counted by the holder from before its ask."""

    limit: NodeName
    number: Unsigned53
    amount: Few
    life: Unsigned53
    whole: Few  # the limit as the planner has it


class Grant(Struct, array_like=True, frozen=True, tag=26):
    """The answer to the ask `seq` of the process `session`."""

    term: Unsigned53
    session: Unsigned64
    seq: Unsigned53
    parts: Annotated[list[Part], Meta(max_length=16)]


class Elsewhere(Struct, array_like=True, frozen=True, tag=27):
    """Not the one that shares out; `leader`: its address as far as known, or empty."""

    session: Unsigned64
    seq: Unsigned53
    leader: Annotated[str, Meta(max_length=64)]


class StatusRequest(Struct, array_like=True, frozen=True, tag=28):
    number: Unsigned53


class StatusResponse(Struct, array_like=True, frozen=True, tag=29):
    number: Unsigned53
    view: dict


CODEC = MessageCodec(
    CHANNEL,
    Prepare | Promise | Propose | Accept | Refuse | Want | Grant | Elsewhere | StatusRequest | StatusResponse,
    (StatusRequest,),
)

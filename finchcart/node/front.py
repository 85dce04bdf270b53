"""How a front joins the core: the contract of both sides.

Owns the types between the core and its fronts; it must never hold state. A front owns links and a protocol;
the core owns RPCs. What a front does, always within a turn:

1. It makes an `Rpc` with whatever `ref` finds its caller again, and hands it over by `core.take(rpc, ...)`
   once it has read it whole. From then on the core owes it exactly one `front.final(rpc, ...)`, which may
   come inside `take`, so `ref` has to be in the front's tables before. An `InvalidRpcError` of `take` says
   what was wrong with the RPC: the core kept nothing, and the front answers in its own words.
2. Where the caller is known gone it says `core.leave(rpc)`, once, instead of waiting for the final answer:
   none comes after that.
3. It asks for reads on its links (`turn.emit(Read(link))`), each of which brings one batch, and hears of
   them by `opened`, `got`, `behind`, `caught_up`, `refused`, `ended`, `finished` and `closed`. A front that
   connects out has `turn.connect(kind, address, self)`.
4. `core.ready` tells whether RPCs can be taken yet: before the worker pool is there, `take` is not called.

`final(rpc, outcome, result, wait, last)`: `OK` with the run's result unchanged; `PUSHED_BACK`: it never ran
here, come back after `wait` microseconds, `last`: don't try elsewhere; `ABORTED`: failed, with no word on
whether it ran. What the front does with it is its own: the core never asks whether the answer arrived.
"""

from typing import Protocol

OK, PUSHED_BACK, ABORTED = "ok", "pushed back", "aborted"


class Rpc:
    """One RPC, as the core and its front hold it. `name`: unique among the open ones, the worker pool's name
    for the run; `ref`: the front's own, never looked at by the core."""

    __slots__ = (
        "front",
        "ref",
        "name",
        "method",
        "body",
        "index",
        "entry",
        "handle",
        "owed",
        "started",
        "over",
        "stands_at",
        "call_link",
        "calls",
        "call_from",
        "share_from",
        "counted",
        "cut",
    )

    def __init__(self, front, ref, name, method, body):
        self.front, self.ref, self.name, self.method, self.body = front, ref, name, method, body
        self.index = self.entry = self.handle = None
        self.owed, self.started, self.over = True, False, False
        self.stands_at = None  # (cursor, body) of the call that the run stands at
        self.call_link, self.calls, self.call_from, self.share_from = None, 0, 0, None
        self.cut = False  # the time of its call was cut short by this node's own grant
        self.counted = None  # by these meters of the fleet's limits, until it is over


class Front(Protocol):
    """What the core calls."""

    def opened(self, link: int) -> None:
        """A link that somebody else made."""

    def got(self, link: int, message: tuple) -> None:
        """One message of the front's codec; `batch_over` follows after the last of a batch."""

    def batch_over(self, link: int) -> None:
        """All of a batch was handed over: the next read may be asked for."""

    def behind(self, link: int) -> None:
        """The far side does not read what is sent."""

    def caught_up(self, link: int) -> None:
        """All is written again."""

    def refused(self, link: int, why: str) -> None:
        """A link of its own never connected."""

    def ended(self, link: int, why: str) -> None:
        """Nothing more will be read; `why` is empty where the far side closed."""

    def finished(self, link: int, shut: bool) -> None:
        """What came of the effect `finish`: where `shut`, nothing more is read or sent on it; else something
        was on its way, and it is as before."""

    def closed(self, link: int) -> None:
        """The link is gone."""

    def final(self, rpc: Rpc, outcome: str, result: bytes, wait: int, last: bool) -> None:
        """The one final answer of an RPC that was taken and not left."""

    def idle_limit(self, keep: int) -> None:
        """Connections that idle for `keep` may be closed."""

    def health(self, good: bool) -> None:
        """How health is told from now on."""

    def drain(self, kill_at: int) -> None:
        """The notice to leave."""

    def quiet(self) -> bool:
        """Whether it holds nothing that the end of the node would cut."""

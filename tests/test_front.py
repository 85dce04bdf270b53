"""The front's contract: a few lines of front in memory run the same seeded rule checks through the core."""

import random

import pytest

from finchcart.errors import InvalidRpcError
from finchcart.node.effects import Drop, Read, Send
from finchcart.node.front import Rpc
from tests.harness import MS, Far, draw_settings
from tests.test_control import PLAIN
from tests.test_core import GAUGES, play, running


class MemoryFront:
    """No protocol at all: messages are the harness's tuples, answers are tuples too."""

    def __init__(self, core, limits):
        self.core, self.turn, self.rpcs, self.said, self.links = core, core.turn, {}, [], set()

    def opened(self, link):
        self.links.add(link)
        self.turn.emit(Read(link))

    def got(self, link, message):
        if message[0] == "left":
            rpc = self.rpcs.pop((link, message[1]), None)
            if rpc:
                self.core.leave(rpc)
            return
        _, seq, told, body = message
        rpc = self.rpcs[link, seq] = Rpc(self, (link, seq), told["i"], told["c"], body)
        if not self.core.ready:
            self.final(rpc, "pushed back", b"", 0, False)
            return
        try:
            self.core.take(
                rpc,
                told.get("k"),
                reached=min(self.turn.now, int(told["s"]) * 1000),
                caller=link,
                again="r" in told,
                hint=100 * MS,
                kb=20.0,
            )
        except InvalidRpcError:
            self.final(rpc, "aborted", b"", 0, False)

    def batch_over(self, link):
        self.turn.emit(Read(link))

    def final(self, rpc, outcome, result, wait, last):
        del self.rpcs[rpc.ref]  # a second answer, or one after `leave`, fails here
        self.turn.emit(Send(rpc.ref[0], (rpc.ref[1], outcome, result)))

    def ended(self, link, why):
        if why:
            return  # what was read before is answered still
        for ref in [ref for ref in self.rpcs if ref[0] == link]:
            self.core.leave(self.rpcs.pop(ref))
        self.turn.emit(Drop(link))

    def closed(self, link):
        self.links.discard(link)

    def behind(self, link):
        """Nothing is kept for one that does not read."""

    caught_up = behind

    def idle_limit(self, keep):
        self.said.append(("idle limit", keep))

    def health(self, good):
        self.said.append(("health", good))

    def drain(self, kill_at):
        self.said.append(("drain", kill_at))

    def quiet(self):
        return not self.links


class MemoryFar(Far):
    def __init__(self, settings, seed=1, **limits):
        super().__init__(settings, seed, front=MemoryFront, **limits)

    def answered(self, link, data):
        self.judge(link, *data)


@pytest.mark.parametrize("seed", range(8))
def test_rules_hold_through_a_front_of_another_kind(seed):
    rng = random.Random(100 + seed)
    far = MemoryFar({**draw_settings(rng), **GAUGES}, seed, cached_results=rng.choice((60, 10_000)))
    assert "ok" in play(far, rng) and not far.front.rpcs
    assert ("health", False) in far.front.said and far.front.said[-1][0] != "health"


def test_two_fronts_share_tokens_and_one_name_is_one_rpc():
    far = MemoryFar({**PLAIN, **GAUGES})
    far.step(MS)
    far.step(MS)
    name = running(far, 1)
    link = far.open()
    first = far.tries[name]
    far.give(link, ("rpc", 9, {"i": name, "c": "m0", "s": str(far.now // 1000)}, b""))
    far.tries["x"] = {**first, "body": b"other"}
    odd = far.submit(link, 1, "x")
    far.step(MS)
    assert far.tries[odd]["how"] == "aborted" and list(far.runs) == [name]
    assert (link, 9) not in far.front.rpcs  # a name in use was unfit, and kept nothing
    assert far.core.running(name) is far.core.rpcs[0]

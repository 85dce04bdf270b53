"""The front's contract: a few lines of front in memory run the same seeded rule checks through the core."""

import random
from dataclasses import replace

import pytest

from finchcart.errors import InvalidRpcError
from finchcart.node.effects import Drop, Read, Send
from finchcart.node.rpc import FinalOutcome, NodeRpc, RpcAttributes
from finchcart.protocol.messages import RevokeNotice, SubmitCall
from tests.core_cases import GAUGES, start_run
from tests.core_harness import MS, CoreHarness
from tests.decision_runs import PLAIN
from tests.dispatchers_double import DispatchersDouble
from tests.harness import draw_settings
from tests.random_core_runs import run_randomly


class MemoryFrontend:
    """No protocol at all: messages are the harness's tuples, answers are tuples too."""

    def __init__(self, core, limits):
        self.core, self.effect_buffer, self.rpcs, self.said, self.links = (
            core,
            core.effect_buffer,
            {},
            [],
            set(),
        )

    def connection_opened(self, link):
        self.links.add(link)
        self.effect_buffer.emit(Read(link))

    def message_received(self, link, message):
        if isinstance(message, RevokeNotice):
            rpc = self.rpcs.pop((link, message.sequence), None)
            if rpc:
                self.core.abandon(rpc)
            return
        seq, told, body = message
        rpc = self.rpcs[link, seq] = NodeRpc(self, (link, seq), told["i"], told["c"], body)
        if not self.core.ready:
            self.send_final_answer(rpc, FinalOutcome.REJECTED, b"", 0, False)
            return
        try:
            self.core.accept(
                rpc,
                RpcAttributes(
                    arrived_at=min(self.effect_buffer.now, int(told["s"]) * 1000),
                    caller=link,
                    idempotency_key=told.get("k"),
                    is_retry="r" in told,
                    service_time_hint_us=100 * MS,
                    memory_kb=20.0,
                ),
            )
        except InvalidRpcError:
            self.send_final_answer(rpc, FinalOutcome.FAILED, b"", 0, False)

    def batch_completed(self, link):
        self.effect_buffer.emit(Read(link))

    def send_final_answer(self, rpc, outcome, result, retry_after_us, do_not_retry):
        del self.rpcs[rpc.reference]  # a second answer, or one after `leave`, fails here
        self.effect_buffer.emit(Send(rpc.reference[0], (rpc.reference[1], outcome, result)))

    def connection_ended(self, link, fault):
        if fault:
            return  # what was read before is answered still
        for ref in [ref for ref in self.rpcs if ref[0] == link]:
            self.core.abandon(self.rpcs.pop(ref))
        self.effect_buffer.emit(Drop(link))

    def connection_closed(self, link):
        self.links.discard(link)

    def write_blocked(self, link):
        """Nothing is kept for one that does not read."""

    write_resumed = write_blocked

    def set_idle_timeout(self, timeout_us):
        self.said.append(("idle timeout", timeout_us))

    def set_health(self, healthy):
        self.said.append(("health", healthy))

    def announce_close(self):
        pass

    def announce_close_of_new(self):
        pass

    def close_now(self):
        pass

    def drain(self, kill_at):
        self.said.append(("drain", kill_at))

    def is_idle(self):
        return not self.links


class MemoryFrontendDispatchers(DispatchersDouble):
    def on_reply(self, connection, data):
        sequence, outcome, body = data
        self.record_answer(connection, sequence, outcome, body)


class MemoryFrontendHarness(CoreHarness):
    dispatchers_type = MemoryFrontendDispatchers

    def __init__(self, settings, seed=1, **limits):
        super().__init__(settings, seed, frontend=MemoryFrontend, **limits)


@pytest.mark.parametrize("seed", range(8))
def test_rules_hold_through_a_frontend_of_another_kind(seed):
    rng = random.Random(100 + seed)
    harness = MemoryFrontendHarness(
        {**draw_settings(rng), **GAUGES}, seed, cached_results_bytes=rng.choice((60, 10_000))
    )
    assert "ok" in run_randomly(harness, rng)
    assert not harness.frontend.rpcs
    assert ("health", False) in harness.frontend.said
    assert harness.frontend.said[-1][0] != "health"


def test_two_frontends_share_keys_and_one_name_is_one_rpc():
    harness = MemoryFrontendHarness({**PLAIN, **GAUGES})
    harness.step(MS)
    harness.step(MS)
    name = start_run(harness, 1)
    link = harness.dispatchers.open()
    first = harness.dispatchers.attempts[name]
    harness.deliver(link, SubmitCall(9, {"i": name, "c": "m0", "s": str(harness.now // 1000)}, b""))
    harness.dispatchers.attempts["x"] = replace(first, body=b"other")
    odd = harness.dispatchers.submit(link, 1, "x")
    harness.step(MS)
    assert harness.dispatchers.attempts[odd].outcome == "failed"
    assert list(harness.pool.runs) == [name]
    assert (link, 9) not in harness.frontend.rpcs  # a name in use was unfit, and kept nothing
    assert harness.core.lifecycle.find_running(name) is harness.core.lifecycle.rpcs[0]

"""Tests of the contract between core and frontend: a minimal frontend passes the seeded rule checks."""

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
    """A frontend without a protocol: messages are the harness's tuples, and answers are tuples."""

    def __init__(self, core, limits):
        self.core, self.effect_buffer, self.rpcs, self.notifications, self.connections = (
            core,
            core.effect_buffer,
            {},
            [],
            set(),
        )

    def connection_opened(self, connection):
        self.connections.add(connection)
        self.effect_buffer.emit(Read(connection))

    def message_received(self, connection, message):
        if isinstance(message, RevokeNotice):
            rpc = self.rpcs.pop((connection, message.sequence), None)
            if rpc:
                self.core.abandon(rpc)
            return
        sequence, fields, body = message
        rpc = self.rpcs[connection, sequence] = NodeRpc(
            self, (connection, sequence), fields["i"], fields["c"], body
        )
        if not self.core.ready:
            self.send_final_answer(rpc, FinalOutcome.REJECTED, b"", 0, False)
            return
        try:
            self.core.accept(
                rpc,
                RpcAttributes(
                    arrived_at=min(self.effect_buffer.now, int(fields["s"]) * 1000),
                    caller=connection,
                    idempotency_key=fields.get("k"),
                    is_retry="r" in fields,
                    service_time_hint_us=100 * MS,
                    memory_kb=20.0,
                ),
            )
        except InvalidRpcError:
            self.send_final_answer(rpc, FinalOutcome.FAILED, b"", 0, False)

    def batch_completed(self, connection):
        self.effect_buffer.emit(Read(connection))

    def send_final_answer(self, rpc, outcome, result, retry_after_us, do_not_retry):
        del self.rpcs[rpc.reference]  # raises KeyError on a second answer, or on an answer after `abandon`
        self.effect_buffer.emit(Send(rpc.reference[0], (rpc.reference[1], outcome, result)))

    def connection_ended(self, connection, fault):
        if fault:
            return  # RPCs that were read before the fault are still answered
        for ref in [ref for ref in self.rpcs if ref[0] == connection]:
            self.core.abandon(self.rpcs.pop(ref))
        self.effect_buffer.emit(Drop(connection))

    def connection_closed(self, connection):
        self.connections.discard(connection)

    def write_blocked(self, connection):
        """Do nothing: this frontend does not limit reads from a peer that does not read."""

    write_resumed = write_blocked

    def set_idle_timeout(self, timeout_us):
        self.notifications.append(("idle timeout", timeout_us))

    def set_health(self, healthy):
        self.notifications.append(("health", healthy))

    def announce_close(self):
        pass

    def announce_close_of_new(self):
        pass

    def close_now(self):
        pass

    def drain(self, kill_at):
        self.notifications.append(("drain", kill_at))

    def is_idle(self):
        return not self.connections


class MemoryFrontendDispatchers(DispatchersDouble):
    def on_reply(self, connection, data):
        sequence, outcome, body = data
        self.record_answer(connection, sequence, outcome, body)


class MemoryFrontendHarness(CoreHarness):
    dispatchers_type = MemoryFrontendDispatchers

    def __init__(self, settings, seed=1, **limits):
        super().__init__(settings, seed, frontend=MemoryFrontend, **limits)


@pytest.mark.parametrize("seed", range(8))
def test_rules_hold_with_a_frontend_without_a_protocol(seed):
    rng = random.Random(100 + seed)
    harness = MemoryFrontendHarness(
        {**draw_settings(rng), **GAUGES}, seed, cached_results_bytes=rng.choice((60, 10_000))
    )
    assert "ok" in run_randomly(harness, rng)
    assert not harness.frontend.rpcs
    assert ("health", False) in harness.frontend.notifications
    assert harness.frontend.notifications[-1][0] != "health"


def test_connections_share_keys_and_an_attempt_name_in_use_is_invalid():
    harness = MemoryFrontendHarness({**PLAIN, **GAUGES})
    harness.step(MS)
    harness.step(MS)
    name = start_run(harness, 1)
    connection = harness.dispatchers.open()
    first = harness.dispatchers.attempts[name]
    harness.deliver(connection, SubmitCall(9, {"i": name, "c": "m0", "s": str(harness.now // 1000)}, b""))
    harness.dispatchers.attempts["x"] = replace(first, body=b"other")
    mismatched = harness.dispatchers.submit(connection, 1, "x")
    harness.step(MS)
    assert harness.dispatchers.attempts[mismatched].outcome == "failed"
    assert list(harness.pool.runs) == [name]
    assert (connection, 9) not in harness.frontend.rpcs  # rejected as invalid: the name is in use
    assert harness.core.lifecycle.find_running(name) is harness.core.lifecycle.rpcs[0]

"""Tests of single components of a node, on an `EffectBuffer` without a core or decision module."""

import random

import pytest

from finchcart.decisions.outcome import Outcome
from finchcart.errors import ProtocolError
from finchcart.limits import Limits
from finchcart.membership.effects import MemberChanged
from finchcart.membership.records import MemberState
from finchcart.node.effect_buffer import EffectBuffer, own_connections_first
from finchcart.node.effects import Defer, End, Send, SendReport, StopListening
from finchcart.node.fleet_inputs import fleet_input
from finchcart.node.idempotency import IdempotencyCache, digest_of
from finchcart.node.inputs import (
    CloseAttempted,
    Drain,
    DuplicateReady,
    FleetMemberChanged,
    FleetMemberState,
    MessagesReceived,
    ThreadDied,
    TimersDue,
)
from finchcart.node.key_entry import NoResult
from finchcart.node.registration import Registration
from finchcart.node.rpc import NodeRpc
from finchcart.node.shutdown import ShutdownSchedule
from finchcart.node.store import StoreClient
from finchcart.node.worker_pool.client import WorkerPoolClient
from finchcart.protocol.connection_events import ConnectionEnded
from finchcart.protocol.messages import GaugesRead, RunEndedNotice, StoreReply, Subscribed
from tests.harness import same_input

MS = 1000
LIMITS = Limits(memory_bytes=192 * 2**20, descriptors=200, stop_timeout_us=3_000 * MS)


def rpc_of(index, body=b"body"):
    rpc = NodeRpc(None, None, f"n{index}", "m0", body)
    rpc.index = index
    return rpc


@pytest.mark.parametrize("seed", range(10))
def test_the_idempotency_cache_detects_duplicates_and_bounds_results(seed):
    rng, effect_buffer = random.Random(seed), EffectBuffer(1)
    cache, live, windows = IdempotencyCache(effect_buffer, 500 * MS, 40), [], {}
    for index in range(400):
        effect_buffer.begin(effect_buffer.now + rng.randrange(60) * MS)
        key = ("m0", rng.randrange(12))
        arrived_at = effect_buffer.now - rng.randrange(200) * MS
        rpc = rpc_of(index)
        rpc.key_entry, is_duplicate = cache.entry_for(key, index, digest_of(rpc.body), arrived_at)
        assert is_duplicate or not any(until > arrived_at and ran for until, ran in windows.get(key, ())), (
            "duplicate not detected"
        )
        if is_duplicate:
            cache.join_in_flight(rpc)
        else:
            cache.store(rpc, 2_000 * MS)
            rpc.key_entry.ran = rng.random() < 0.8
            windows.setdefault(key, []).append((rpc.key_entry.expires_at, rpc.key_entry.ran))
            live.append(rpc)
        if live and rng.random() < 0.7:
            ended = live.pop(rng.randrange(len(live)))
            if ended.key_entry.ran:
                cache.complete(ended.key_entry, rng.choice((rng.randbytes(9), NoResult.FAILED)))
            else:
                cache.evict(ended.key_entry)
        assert cache.result_bytes == sum(len(entry.result) for entry in cache.with_result) <= 40
    for _ in range(3):
        effect_buffer.begin(effect_buffer.now + 4_000 * MS)
    assert not cache.entries
    assert not cache.with_result
    assert not effect_buffer.timers


def test_a_duplicate_that_is_read_late_is_detected_even_if_a_later_attempt_was_evicted():
    effect_buffer = EffectBuffer(1)
    cache = IdempotencyCache(effect_buffer, 500 * MS, 100)
    effect_buffer.begin(1_000 * MS)
    ran, later = rpc_of(0), rpc_of(1)
    ran.key_entry, _ = cache.entry_for(("m0", "k"), 0, digest_of(b"body"), effect_buffer.now)
    cache.store(ran, 100 * MS)
    ran.key_entry.ran = True
    cache.complete(ran.key_entry, b"result")
    effect_buffer.begin(1_150 * MS)
    later.key_entry, is_duplicate = cache.entry_for(("m0", "k"), 1, digest_of(b"body"), effect_buffer.now)
    assert not is_duplicate  # the window is over
    cache.store(later, 100 * MS)
    cache.evict(later.key_entry)  # as of an RPC that is rejected and never runs
    assert cache.entry_for(("m0", "k"), 2, digest_of(b"body"), 1_050 * MS) == (ran.key_entry, True)
    assert not cache.entry_for(("m0", "k"), 2, digest_of(b"body"), 1_160 * MS)[1]


def test_waiting_duplicates_are_notified_once_the_first_attempt_completes():
    effect_buffer = EffectBuffer(1)
    cache = IdempotencyCache(effect_buffer, 0, 100)
    first, second = rpc_of(0), rpc_of(1)
    first.key_entry, _ = cache.entry_for(("m0", "k"), 0, digest_of(b"body"), 0)
    cache.store(first, 10)
    first.key_entry.ran = True
    second.key_entry, is_duplicate = cache.entry_for(("m0", "k"), 1, digest_of(b"body"), 0)
    cache.join_in_flight(second)
    assert is_duplicate
    assert not effect_buffer.effects
    cache.complete(first.key_entry, b"result")
    assert same_input(effect_buffer.effects[0].input, DuplicateReady(1))
    assert effect_buffer.effects == [Defer(DuplicateReady(1))]
    assert cache.is_payload_mismatch(("m0", "k"), digest_of(b"x"))


class RandomCalls:
    """Random calls to the store; checks that no duplicated reply can be taken for another call's."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.effect_buffer = EffectBuffer(1)
        self.ended = []
        self.store = StoreClient(self.effect_buffer, LIMITS, ("store", 1), self.call_ended)
        self.in_flight = {}  # the RPC that made each call, by the call's number
        self.calls_made = 0
        self.names_used = {}  # by connection

    def call_ended(self, rpc, outcome, body, spent_us):
        self.ended.append(rpc.index)

    def call(self, rpc):
        if rpc.name in {other.name for other in self.in_flight.values()}:
            return
        self.store.call(rpc, 200 * MS, b"?")
        self.in_flight[self.calls_made] = rpc
        self.calls_made += 1
        used = self.names_used.setdefault(rpc.call_connection, set())
        assert rpc.name not in used, "a duplicated reply to an earlier call could be taken for the reply"
        used.add(rpc.name)

    def end_randomly(self, number, rpc):
        store = self.store
        connection = rpc.call_connection
        chance = self.rng.random()
        if connection is None:
            del self.in_flight[number]
        elif chance < 0.1:
            store.message_received(connection, StoreReply(rpc.name, Outcome.OK, b"!"))
        elif chance < 0.13:
            # A corrupt reply, which must not end the call.
            store.message_received(connection, StoreReply("another", Outcome.OK, b"!"))
            assert rpc.call_connection == connection
            assert store.connections[connection].retired
        elif chance < 0.16:
            store.connection_ended(connection, ProtocolError("lost"))
        elif chance < 0.18:
            store.drop(rpc)
            self.ended.append(rpc.index)

    def step(self, number):
        rng = self.rng
        self.effect_buffer.begin(self.effect_buffer.now + rng.randrange(20) * MS)
        if rng.random() < 0.4:
            self.call(rpc_of(rng.randrange(20) if rng.random() < 0.5 else 100 + number))
        for call, rpc in list(self.in_flight.items()):
            self.end_randomly(call, rpc)
        connections = self.store.connections.values()
        names = {connection.rpc.name for connection in connections if connection.rpc}
        assert len(names) == sum(1 for connection in connections if connection.rpc)
        if rng.random() < 0.01:
            self.store.change_address(("store", number))
            assert all(connection.rpc for connection in connections)


@pytest.mark.parametrize("seed", range(10))
def test_each_call_ends_once_and_no_connection_carries_a_name_twice(seed):
    calls = RandomCalls(seed)
    for number in range(600):
        calls.step(number)
    for _ in range(4):
        calls.effect_buffer.begin(calls.effect_buffer.now + 2_000 * MS)
    assert len(calls.ended) == calls.calls_made
    assert not calls.store.connections
    assert not calls.store.idle


class ListenerDouble:
    """Records what the worker pool client reports about runs and about the worker pool."""

    def __init__(self):
        self.rpcs, self.reported = {}, []

    def find_running(self, name):
        return self.rpcs.get(name)

    def run_ended(self, rpc, outcome, spent, result):
        self.reported.append((rpc.name, outcome))
        self.rpcs.pop(rpc.name)
        self.pool.confirm(rpc)

    def longest_run_us(self, rpc):
        return 3_000 * MS

    def __getattr__(self, method):
        return lambda *arguments: self.reported.append((method, *arguments))


def test_the_worker_pool_client_settles_commands_that_may_have_been_lost_with_a_connection():
    effect_buffer, listener = EffectBuffer(1), ListenerDouble()
    pool = listener.pool = WorkerPoolClient(
        effect_buffer, LIMITS, ("pool", 1), ("core_use",), listener, listener
    )
    pool.connect()
    pool.message_received(pool.connection.number, Subscribed(False, 5_000))
    idempotent, non_idempotent = rpc_of(1), rpc_of(2)
    listener.rpcs = {idempotent.name: idempotent, non_idempotent.name: non_idempotent}
    pool.commands.send(idempotent, b"run safe", b"run safe", is_start=True)
    pool.commands.send(non_idempotent, b"run effect", None)
    pool.connection_ended(pool.connection.number, None)
    effect_buffer.begin(effect_buffer.now + 1_000 * MS)
    pool.message_received(pool.connection.number, Subscribed(False, 1_005_000))
    ticket = pool.commands.settlement_ticket
    effect_buffer.begin(effect_buffer.now)
    pool.message_received(pool.connection.number, GaugesRead(ticket, ()))
    assert Send(pool.connection.number, b"run safe") in [
        e for e in effect_buffer.effects if isinstance(e, Send)
    ]
    assert b"run effect" not in [e[-1] for e in effect_buffer.effects]
    # The non-idempotent run may be running: it counts as running until the longest possible run is over.
    assert non_idempotent.index in pool.commands.unconfirmed_runs
    assert not any(report[0] == non_idempotent.name for report in listener.reported)
    assert list(pool.commands.unconfirmed) == [1]  # sent again, and unconfirmed again
    pool.message_received(pool.connection.number, RunEndedNotice(1, idempotent.name, Outcome.OK, 5, b""))
    pool.message_received(pool.connection.number, RunEndedNotice(1, idempotent.name, Outcome.OK, 5, b""))
    # The worker pool may read the second start after that end, so only the end of the second run counts.
    assert listener.reported.count((idempotent.name, Outcome.OK)) == 0
    assert idempotent.index in pool.commands.unconfirmed_runs
    pool.message_received(pool.connection.number, RunEndedNotice(2, idempotent.name, Outcome.OK, 5, b""))
    assert listener.reported.count((idempotent.name, Outcome.OK)) == 1
    effect_buffer.begin(effect_buffer.now + 2_999 * MS)
    assert (non_idempotent.name, Outcome.STOPPED) not in listener.reported
    effect_buffer.begin(effect_buffer.now + MS)
    assert (non_idempotent.name, Outcome.STOPPED) in listener.reported


class ShutdownHostDouble:
    def __init__(self, busy):
        self.busy = busy
        self.calls = []

    def is_busy(self):
        return self.busy[0]

    def announce_close(self):
        self.calls.append("announce close")

    def announce_close_of_new(self):
        self.calls.append("announce close of new")

    def close_now(self):
        self.calls.append("close now")

    def before_end(self):
        self.calls.append("before end")


def test_a_drain_waits_until_the_node_is_idle_and_stops_listening_before_the_end():
    effect_buffer, busy = EffectBuffer(1), [True]
    host = ShutdownHostDouble(busy)
    registration = Registration(effect_buffer, LIMITS, "n1", ("registry", 1))
    schedule = ShutdownSchedule(effect_buffer, LIMITS, 100 * MS, host)
    registration.report()
    assert schedule.drain(effect_buffer.now)
    assert not schedule.drain(effect_buffer.now)
    registration.set_health(False)
    assert effect_buffer.effects[-1].data == b"HERE n1 off"
    emitted = []
    for _ in range(60):
        emitted += map(type, effect_buffer.begin(effect_buffer.now + 40 * MS))
        schedule.end_if_idle()
        emitted += [
            type(effect) for effect in effect_buffer.effects if isinstance(effect, StopListening | End)
        ]
        busy[0] = effect_buffer.now < 600 * MS
    assert [kind for kind in emitted if kind is not SendReport][:2] == [StopListening, End]
    assert host.calls[:2] == ["announce close", "before end"]


@pytest.mark.parametrize("seed", range(5))
def test_inputs_of_own_connections_come_first_and_the_order_on_each_connection_is_kept(seed):
    rng = random.Random(seed)
    inputs = [Drain(), TimersDue(), ThreadDied("read 3")]
    for n in range(40):
        connection = rng.choice((-2, -1, 1, 2))
        inputs.append(
            rng.choice(
                (
                    MessagesReceived(connection, [n], n),
                    ConnectionEnded(connection, ProtocolError(f"{n}")),
                    CloseAttempted(connection, n),
                )
            )
        )
    rng.shuffle(inputs)
    ordered = own_connections_first(inputs)

    def of_connection(received, number):
        return [each for each in received if getattr(each, "connection", None) == number]

    for number in (-2, -1, 1, 2):
        assert of_connection(ordered, number) == of_connection(inputs, number)
    is_own = [each.connection < 0 for each in ordered if hasattr(each, "connection")]
    assert is_own == sorted(is_own, reverse=True)


def test_each_member_state_of_the_fleet_has_a_counterpart_in_the_node():
    expected = {state: FleetMemberState(state.value) for state in MemberState}
    assert list(expected.values()) == list(FleetMemberState)
    for state, node_state in expected.items():
        assert fleet_input(MemberChanged("n2", state, 1)) == FleetMemberChanged("n2", node_state, 1)

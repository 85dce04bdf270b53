"""Each piece of a node alone, on a bare turn: no core, no control."""

import random

import pytest

from finchcart.interface import Outcome
from finchcart.net.limits import Limits
from finchcart.node.duty import Duty
from finchcart.node.effects import Defer, End, Send, SendReport, StopListening
from finchcart.node.front import Rpc
from finchcart.node.inputs import (
    CloseAttempted,
    ConnectionEnded,
    Drain,
    DuplicateReady,
    MessagesReceived,
    ThreadDied,
    TimersDue,
)
from finchcart.node.pool import Pool
from finchcart.node.store import Store
from finchcart.node.tokens import FAILED, Tokens, digest_of
from finchcart.node.turn import Turn, own_first
from tests.harness import same_input

MS = 1000
LIMITS = Limits(memory=192 * 2**20, descriptors=200, stop_timeout=3_000 * MS)


def rpc_of(index, body=b"body"):
    rpc = Rpc(None, None, f"n{index}", "m0", body)
    rpc.index = index
    return rpc


@pytest.mark.parametrize("seed", range(10))
def test_tokens_hold_one_entry_a_key_and_bound_results(seed):
    rng, turn = random.Random(seed), Turn(1)
    tokens, live, windows = Tokens(turn, 500 * MS, 40), [], {}
    for index in range(400):
        turn.begin(turn.now + rng.randrange(60) * MS)
        key = ("m0", rng.randrange(12))
        reached = turn.now - rng.randrange(200) * MS
        rpc = rpc_of(index)
        rpc.entry, repeats = tokens.entry(key, index, digest_of(rpc.body), reached)
        assert repeats or not any(until > reached and ran for until, ran in windows.get(key, ())), "forgotten"
        if repeats:
            tokens.share(rpc)
        else:
            tokens.remember(rpc, 2_000 * MS)
            rpc.entry.ran = rng.random() < 0.8
            windows.setdefault(key, []).append((rpc.entry.until, rpc.entry.ran))
            live.append(rpc)
        if live and rng.random() < 0.7:
            done = live.pop(rng.randrange(len(live)))
            if done.entry.ran:
                tokens.settle(done.entry, rng.choice((rng.randbytes(9), FAILED)))
            else:
                tokens.forget(done.entry)
        assert tokens.result_bytes == sum(len(entry.result) for entry in tokens.results) <= 40
    for _ in range(3):
        turn.begin(turn.now + 4_000 * MS)
    assert not tokens.table and not tokens.results and not turn.timers


def test_a_late_repeat_of_what_ran_is_known_though_a_later_try_of_the_key_was_forgotten():
    turn = Turn(1)
    tokens = Tokens(turn, 500 * MS, 100)
    turn.begin(1_000 * MS)
    ran, later = rpc_of(0), rpc_of(1)
    ran.entry, _ = tokens.entry(("m0", "k"), 0, digest_of(b"body"), turn.now)
    tokens.remember(ran, 100 * MS)
    ran.entry.ran = True
    tokens.settle(ran.entry, b"result")
    turn.begin(1_150 * MS)
    later.entry, repeats = tokens.entry(("m0", "k"), 1, digest_of(b"body"), turn.now)
    assert not repeats  # the window is over
    tokens.remember(later, 100 * MS)
    tokens.forget(later.entry)  # pushed back: it never ran
    assert tokens.entry(("m0", "k"), 2, digest_of(b"body"), 1_050 * MS) == (ran.entry, True)
    assert not tokens.entry(("m0", "k"), 2, digest_of(b"body"), 1_160 * MS)[1]


def test_waiting_shares_are_told_once_the_first_try_is_over():
    turn = Turn(1)
    tokens = Tokens(turn, 0, 100)
    first, second = rpc_of(0), rpc_of(1)
    first.entry, _ = tokens.entry(("m0", "k"), 0, digest_of(b"body"), 0)
    tokens.remember(first, 10)
    first.entry.ran = True
    second.entry, repeats = tokens.entry(("m0", "k"), 1, digest_of(b"body"), 0)
    tokens.share(second)
    assert repeats and not turn.effects
    tokens.settle(first.entry, b"result")
    assert same_input(turn.effects[0].input, DuplicateReady(1))
    assert turn.effects == [Defer(DuplicateReady(1))] and tokens.other_body(("m0", "k"), digest_of(b"x"))


@pytest.mark.parametrize("seed", range(10))
def test_each_call_ends_once_and_no_link_serves_a_name_twice(seed):
    rng, turn, ended = random.Random(seed), Turn(1), []
    store = Store(turn, LIMITS, ("store", 1), lambda rpc, outcome, body, spent: ended.append(rpc.index))
    under_way, made, used = {}, 0, {}
    for step in range(600):
        effects = turn.begin(turn.now + rng.randrange(20) * MS)
        if rng.random() < 0.4:
            rpc = rpc_of(rng.randrange(20) if rng.random() < 0.5 else 100 + step)
            if rpc.name not in {other.name for other in under_way.values()}:
                store.call(rpc, 200 * MS, b"?")
                under_way[made], made = rpc, made + 1
                assert rpc.name not in used.setdefault(rpc.call_link, set()), "a copy could pass for it"
                used[rpc.call_link].add(rpc.name)
        for key, rpc in list(under_way.items()):
            link, chance = rpc.call_link, rng.random()
            if link is None:
                del under_way[key]
            elif chance < 0.1:
                store.got(link, ("reply", rpc.name, Outcome.OK, b"!"))
            elif chance < 0.13:
                store.got(link, ("reply", "another", Outcome.OK, b"!"))  # spoilt: never passes for the call's
                assert rpc.call_link == link and store.links[link].retired
            elif chance < 0.16:
                store.ended(link, "cut")
            elif chance < 0.18:
                store.drop(rpc)
                ended.append(rpc.index)
        numbers = {link.rpc.name for link in store.links.values() if link.rpc}
        assert len(numbers) == sum(1 for link in store.links.values() if link.rpc)
        if rng.random() < 0.01:
            store.move(("store", step))
            assert all(link.rpc for link in store.links.values())
        del effects
    for _ in range(4):
        turn.begin(turn.now + 2_000 * MS)
    assert len(ended) == made and not store.links and not store.idle


class Host:
    def __init__(self):
        self.rpcs, self.told = {}, []

    def running(self, name):
        return self.rpcs.get(name)

    def run_ended(self, rpc, outcome, spent, result):
        self.told.append((rpc.name, outcome))
        self.rpcs.pop(rpc.name)
        self.pool.confirmed(rpc)

    def __getattr__(self, word):
        return lambda *more: self.told.append((word, *more))


def test_the_pool_settles_what_a_lost_link_may_have_lost():
    turn, host = Turn(1), Host()
    pool = host.pool = Pool(turn, LIMITS, ("pool", 1), ("core_use",), host)
    pool.reach()
    pool.got(pool.link, ("up", False, 5_000))
    safe, effect = rpc_of(1), rpc_of(2)
    host.rpcs = {safe.name: safe, effect.name: effect}
    pool.command(safe, b"run safe", b"run safe")
    pool.command(effect, b"run effect", None)
    pool.ended(pool.link, "")
    turn.begin(turn.now + 1_000 * MS)
    pool.got(pool.link, ("up", False, 1_005_000))
    settle = pool.settle
    turn.begin(turn.now)
    pool.got(pool.link, ("gauges", settle, ()))
    assert Send(pool.link, b"run safe") in [e for e in turn.effects if isinstance(e, Send)]
    assert (effect.name, Outcome.STOPPED) in host.told and b"run effect" not in [e[-1] for e in turn.effects]
    assert list(pool.unconfirmed) == [1]  # written once more, and open again
    pool.got(pool.link, ("run_ended", 1, safe.name, Outcome.OK, 5, b""))
    pool.got(pool.link, ("run_ended", 1, safe.name, Outcome.OK, 5, b""))
    assert host.told.count((safe.name, Outcome.OK)) == 1


def test_the_end_waits_for_what_is_open_and_listens_no_more_before():
    turn, busy = Turn(1), [True]
    duty = Duty(turn, LIMITS, "n1", ("registry", 1), 100 * MS, lambda: busy[0])
    duty.report()
    assert duty.drain(turn.now) and not duty.drain(turn.now)
    duty.health(False)
    assert turn.effects[-1].data == b"HERE n1 off"
    told = []
    for _ in range(60):
        told += map(type, turn.begin(turn.now + 40 * MS))
        duty.look()
        told += [type(effect) for effect in turn.effects if isinstance(effect, StopListening | End)]
        busy[0] = turn.now < 600 * MS
    assert [kind for kind in told if kind is not SendReport][:2] == [StopListening, End]


@pytest.mark.parametrize("seed", range(5))
def test_a_turn_takes_own_links_first_and_keeps_the_order_on_each(seed):
    rng = random.Random(seed)
    words = [Drain(), TimersDue(), ThreadDied("read 3")]
    for n in range(40):
        link = rng.choice((-2, -1, 1, 2))
        words.append(
            rng.choice(
                (MessagesReceived(link, [n], n), ConnectionEnded(link, f"{n}"), CloseAttempted(link, n))
            )
        )
    rng.shuffle(words)
    taken = own_first(words)
    for link in (-2, -1, 1, 2):
        mine = lambda order: [what for what in order if getattr(what, "connection", None) == link]
        assert mine(taken) == mine(words)
    signs = [what.connection < 0 for what in taken if hasattr(what, "connection")]
    assert signs == sorted(signs, reverse=True)

"""Nodes that share a limit, on the virtual clock: the bounds of the limit held against the truth.

Owns the clocks of the processes, which drift apart, the calls that nodes make through the node's own
limiters, and the count of those in hand at the store. It must never take a process's word for what it uses.
"""

from random import Random

import xxhash

from finchcart.fault_injection.membership.simulation import FLEET_NAME, WALL_CLOCK_MS
from finchcart.fault_injection.quota.process import (
    IdleMachine,
    QuotaFactories,
    QuotaProcess,
    SharingMode,
    StoreCall,
)
from finchcart.fault_injection.virtual_time.driver import ProcessSimulation
from finchcart.fault_injection.virtual_time.invariants import InvariantError
from finchcart.membership.config import MembershipConfig
from finchcart.membership.inputs import PiggybackInput
from finchcart.membership.member import Member
from finchcart.node.limiters import CallConcurrencyLimiter, RateLimiter
from finchcart.quota.effects import LimitAllowance
from finchcart.quota.inputs import UsageReported
from finchcart.quota.limits import SECOND, Limit, Mode, QuotaConfig, Unit

TICK_US = 100_000
LATENCY_US = 300
FOREVER_US = 10**15
CALL_US = 300_000  # a call, on average,
LEAST_CALL_US = 1000  # and at least
LIMIT_AMOUNT = 40
RATE_BURST = 20
OVERSTATED_DEMAND = 10**6
SEED_MEMBERS = 3


class QuotaSimulation(ProcessSimulation[QuotaProcess]):
    """Planners p0, p1, ... and nodes n0, n1, ... that share one limit.

    `per` is what is limited, "in_hand" or "rate"; `drift` is by how much clocks may be off, the stated part
    where it is None. `after_step` raises an `InvariantError` where more than the bound is in hand.
    """

    def __init__(
        self,
        seed: int,
        planners: int = 3,
        holders: int = 4,
        quota: QuotaConfig | None = None,
        factories: QuotaFactories | None = None,
        drift: float | None = None,
        mode: str = SharingMode.STRICT,
        per: Unit = "in_hand",
    ) -> None:
        super().__init__(seed, LATENCY_US)
        self.random = Random(f"shares {seed}")
        self.mode = SharingMode(mode)
        self.factories = factories or QuotaFactories()
        names = [f"p{number}" for number in range(planners)] + [f"n{number}" for number in range(holders)]
        addresses = [f"10.0.{number // 250}.{number % 250 + 1}:7401" for number in range(len(names))]
        quota = quota or QuotaConfig(limits=(self._default_limit(holders, per),), max_processes=holders + 2)
        self.quota = QuotaConfig(**{**quota.__dict__, "planners": tuple(addresses[:planners])})
        self.limit = self.quota.limits[0]
        self.is_rate = self.limit.per == "rate"
        self.drift = self.quota.drift if drift is None else drift
        self.membership_config = MembershipConfig()
        for name, address in zip(names, addresses, strict=True):
            clock_rate = 1 + self.random.choice([-1, 0, 1]) * self.drift
            clock_origin = self.random.randrange(10**9)
            self.add_process(QuotaProcess(name, address, clock_rate=clock_rate, clock_origin=clock_origin))
        self.call_us = CALL_US
        self.trace = xxhash.xxh3_64()
        self._init_statistics()

    def _default_limit(self, holders: int, per: Unit) -> Limit:
        floors = {SharingMode.STRICT: 1, SharingMode.STATIC: LIMIT_AMOUNT // holders if holders else 0}
        burst = 0 if per == "in_hand" else RATE_BURST
        mode: Mode = "loose" if self.mode == SharingMode.LOOSE else "strict"
        floor = floors.get(self.mode, 0)
        return Limit("store", LIMIT_AMOUNT, floor, per=per, burst=burst, mode=mode)

    def _init_statistics(self) -> None:
        self.phase = "start"
        self.use: dict[str, list[float]] = {}  # phase -> [used, wanted], unit-microseconds
        self.in_hand = 0
        self.counted_at = self.now
        self.worst: float = 0  # most in hand, or the fullest bucket
        self.remainder = 0  # most that stopped processes wrote too late
        self.level = 0.0  # of a bucket that empties at the rate
        self.level_at = self.now
        self.taken = 0  # at a rate, since the last step

    # ---- processes

    @property
    def nodes(self) -> list[QuotaProcess]:
        """The nodes, whether they run or not."""
        return [process for process in self.processes.values() if process.is_node]

    def start(self, name: str) -> None:
        """Start the process of that name."""
        process = self.reset_process(name)
        process.pending_call = None
        own_time = self.clock(process)
        random = Random(f"{self.seed} {name} {process.generation}")
        if process.is_node:
            process.limiter = self._make_limiter()
            process.limiter.now_us = own_time
            process.machine = self._make_node(process, random, own_time)
        else:
            process.machine = self.factories.planner(
                process.address, FLEET_NAME, self.quota, random, own_time
            )
        self.schedule(self.now + self.random.randrange(TICK_US), self.tick, name, process.generation)

    def _make_limiter(self) -> CallConcurrencyLimiter | RateLimiter:
        kind = RateLimiter if self.is_rate else CallConcurrencyLimiter
        return kind(self.limit, self.quota.write_slack, self.quota.max_processes)

    def _make_node(self, process: QuotaProcess, random: Random, own_time: int) -> object:
        if self.mode == SharingMode.LOOSE:
            return self._make_member(process, random, own_time)
        if self.mode == SharingMode.STRICT:
            return self.factories.lease_holder(process.name, FLEET_NAME, self.quota, random, own_time)
        parts = len(self.nodes) if self.mode == SharingMode.STATIC else 1
        process.limiter.set_allowance(self.limit.amount // parts, 0, FOREVER_US)
        return IdleMachine()

    def _make_member(self, process: QuotaProcess, random: Random, own_time: int) -> Member:
        seeds = [node.address for node in self.nodes][:SEED_MEMBERS]
        member = Member(
            process.name,
            FLEET_NAME,
            process.address,
            seeds,
            self.membership_config,
            random,
            WALL_CLOCK_MS + self.now // 1000,
            own_time,
        )
        member.piggyback_clients.append(self.factories.local_limits(self.quota, own_time))
        return member

    def kill(self, name: str) -> None:
        """End the process; its connections close, so that the store abandons its calls."""
        super().kill(name)
        process = self.processes[name]
        process.pending_call = None
        process.calls = []

    def stop_before_write(self, name: str) -> None:
        """Stop a node after its last look at the clock, before a call that was allowed is written."""
        process = self.processes[name]
        if not self.is_rate and self.mode == SharingMode.STRICT and process.demand > 0:
            process.limiter.now_us = self.clock(process)
            given = process.limiter.try_acquire(process)
            if given and given[0]:
                process.pending_call = min(self._draw_call_us(), int(given[1] / process.clock_rate))
        self.stop(name)

    def resume(self, name: str) -> None:
        """Let a stopped process go on; what it had decided on is written first."""
        process = self.processes[name]
        if process.pending_call is not None:
            process.calls.append(StoreCall(self.now + process.pending_call, True, True))
            process.pending_call = None
        super().resume(name)

    def clock(self, process: QuotaProcess) -> int:
        """Return what the process's own clock reads."""
        return process.clock_origin + int((self.now - process.clock_origin) * process.clock_rate)

    def tick_interval(self, process: QuotaProcess) -> int:
        """Return a tick of the process's clock in true time."""
        return int(TICK_US / process.clock_rate)

    def after_tick(self, process: QuotaProcess) -> None:
        """Let a node make its calls."""
        if process.is_node and not process.stopped:
            self._make_calls(process)

    def handle_effect(self, process: QuotaProcess, effect: tuple) -> None:
        """Hand a new allowance to the limiter."""
        self.trace.update(f"{self.now} {process.name} {effect}".encode())
        if isinstance(effect, LimitAllowance):
            process.limiter.now_us = self.clock(process)
            process.limiter.set_allowance(effect.floor, effect.amount, effect.until)
            self._make_calls(process)

    # ---- calls, by the node's own limiter

    def _draw_call_us(self) -> int:
        return int(self.random.expovariate(1 / self.call_us)) + LEAST_CALL_US

    def _make_calls(self, process: QuotaProcess) -> None:
        process.limiter.now_us = self.clock(process)
        if process.stopped or process.machine is None:
            return
        if self.is_rate:
            self._attempt_at_rate(process)
        else:
            self._fill_calls(process)
        if not process.reporting:
            process.reporting = True
            self._report_usage(process)
            process.reporting = False

    def _fill_calls(self, process: QuotaProcess) -> None:
        """Make as many calls as the node wants and its limiter allows."""
        process.calls = [call for call in process.calls if call.ends_at > self.now]
        for _ in range(max(0, process.demand - len(process.calls))):
            given = process.limiter.try_acquire(process)
            if given is None:
                break
            leased, longest = given
            duration = self._draw_call_us()
            if longest is not None:
                duration = min(duration, int(longest / process.clock_rate))
            process.calls.append(StoreCall(self.now + duration, leased, False))
            self.schedule(self.now + duration, self._end_call, process)

    def _end_call(self, process: QuotaProcess) -> None:
        if not self.is_rate:
            self._make_calls(process)

    def _attempt_at_rate(self, process: QuotaProcess) -> None:
        """Attempt `demand` calls a second; what is not allowed is gone."""
        before = self.now if process.attempted_at is None else process.attempted_at
        process.attempted_at = self.now
        owed = process.owed_attempts + process.demand * (self.now - before) / SECOND
        process.owed_attempts = min(owed, process.demand)
        while process.owed_attempts >= 1:
            process.owed_attempts -= 1
            process.limiter.record_demand()
            if process.limiter.try_acquire():
                rate = self.bounded_amount() * (1 + self.drift) / SECOND
                self.level = max(0.0, self.level - (self.now - self.level_at) * rate) + 1
                self.level_at = self.now
                self.taken += 1

    def _report_usage(self, process: QuotaProcess) -> None:
        """Tell the node's state machine what the limiter counted."""
        if self.mode not in (SharingMode.STRICT, SharingMode.LOOSE):
            return
        overstated = OVERSTATED_DEMAND if process.overstates_demand else 0
        demand = 0 if self.is_rate else max(process.demand, overstated)
        usage = process.limiter.usage(process, demand)
        if not usage:
            return
        if overstated and self.is_rate:
            usage = usage[0], overstated, 0
        report = UsageReported(self.limit.name, *usage)
        self.feed(process.name, PiggybackInput(report) if self.mode == SharingMode.LOOSE else report)

    # ---- the truth

    def count(self) -> tuple[int, int]:
        """Return the calls in hand at the store, and those of them that stopped processes wrote too late."""
        calls = [
            call for process in self.processes.values() for call in process.calls if call.ends_at > self.now
        ]
        return len(calls), sum(call.written_late for call in calls)

    def overshoot_bound(self) -> int:
        """Return what may be in hand beyond the limit, whatever fails."""
        if self.mode == SharingMode.LOOSE:
            return self.quota.loose_overshoot_bound(self.limit, len(self.nodes))
        return 0 if self.mode == SharingMode.STRICT else FOREVER_US

    def bounded_amount(self) -> int:
        """Return the limit and what may come beyond it, whatever fails."""
        if self.mode == SharingMode.LOOSE:
            return self.limit.amount + self.overshoot_bound()
        return self.limit.amount

    def after_step(self, _: object) -> None:
        """Count what was used and wanted since the last step, and check the bound."""
        span = self.now - self.counted_at
        self.counted_at = self.now
        demand = sum(
            process.demand for process in self.processes.values() if process.machine and not process.stopped
        )
        use = self.use.setdefault(self.phase, [0.0, 0.0])
        use[1] += min(demand, self.limit.amount) * span
        if self.is_rate:
            use[0] += self.taken * SECOND
            self.taken = 0
            self._check_bucket()
        else:
            use[0] += self.in_hand * span
            self._check_in_hand()

    def _check_bucket(self) -> None:
        self.worst = max(self.worst, self.level)
        most = self.limit.burst * self.bounded_amount() / self.limit.amount
        checked = self.mode in (SharingMode.STRICT, SharingMode.LOOSE)
        if checked and self.level > most + 1e-6:
            raise InvariantError(
                f"seed {self.seed}, {self.now / SECOND:.3f} s: {self.level:.1f} at once of "
                f"{most} and {self.bounded_amount()} a second"
            )

    def _check_in_hand(self) -> None:
        self.in_hand, late = self.count()
        self.worst = max(self.worst, self.in_hand - late)
        self.remainder = max(self.remainder, late)
        if self.in_hand - late > self.limit.amount + self.overshoot_bound():
            held = {
                name: (
                    len(process.calls),
                    process.amount,
                    (process.limiter.until - self.clock(process)) // 1000,
                )
                for name, process in self.processes.items()
                if process.calls
            }
            raise InvariantError(
                f"seed {self.seed}, {self.now / SECOND:.3f} s: {self.in_hand} calls in hand of "
                f"{self.limit.amount}: {held}"
            )

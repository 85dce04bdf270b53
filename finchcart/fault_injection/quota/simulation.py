"""Simulates nodes that share a limit on a virtual clock, and checks the limit's bound at the store.

This module owns the clocks of the processes, which drift apart, the calls that nodes make through a node's
real limiters, and the count of calls in progress at the store. It must never rely on the usage that a
process reports.
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
MEAN_CALL_US = 300_000
MIN_CALL_US = 1000
LIMIT_AMOUNT = 40
RATE_BURST = 20
OVERSTATED_DEMAND = 10**6
SEED_MEMBERS = 3


class QuotaSimulation(ProcessSimulation[QuotaProcess]):
    """Planners p0, p1, ... and nodes n0, n1, ... that share one limit.

    `per` selects what is limited: calls in progress ("in_hand") or calls per second ("rate"). `drift` is the
    largest relative error of a clock's rate; None stands for the configured drift. `after_step` raises an
    `InvariantError` if the calls at the store exceed the limit by more than its sharing mode allows.
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
        self.call_us = MEAN_CALL_US
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
        self.worst: float = 0  # most calls in progress, or the highest level of the rate bucket
        self.remainder = 0  # most calls in progress that stopped processes wrote too late
        self.level = 0.0  # level of a leaky bucket that drains at the limit's rate
        self.level_at = self.now
        self.taken = 0  # calls admitted under a rate limit since the last step

    # ---- processes

    @property
    def nodes(self) -> list[QuotaProcess]:
        """All nodes, running or not."""
        return [process for process in self.processes.values() if process.is_node]

    def start(self, name: str) -> None:
        """Start the process of that name."""
        process = self.reset_process(name)
        process.pending_call = None
        local_now = self.clock(process)
        random = Random(f"{self.seed} {name} {process.generation}")
        if process.is_node:
            process.limiter = self._make_limiter()
            process.limiter.now_us = local_now
            process.machine = self._make_node(process, random, local_now)
        else:
            process.machine = self.factories.planner(
                process.address, FLEET_NAME, self.quota, random, local_now
            )
        self.schedule(self.now + self.random.randrange(TICK_US), self.tick, name, process.generation)

    def _make_limiter(self) -> CallConcurrencyLimiter | RateLimiter:
        limiter_type = RateLimiter if self.is_rate else CallConcurrencyLimiter
        return limiter_type(self.limit, self.quota.write_slack, self.quota.max_processes)

    def _make_node(self, process: QuotaProcess, random: Random, local_now: int) -> object:
        if self.mode == SharingMode.LOOSE:
            return self._make_member(process, random, local_now)
        if self.mode == SharingMode.STRICT:
            return self.factories.lease_holder(process.name, FLEET_NAME, self.quota, random, local_now)
        parts = len(self.nodes) if self.mode == SharingMode.STATIC else 1
        process.limiter.set_allowance(self.limit.amount // parts, 0, FOREVER_US)
        return IdleMachine()

    def _make_member(self, process: QuotaProcess, random: Random, local_now: int) -> Member:
        seeds = [node.address for node in self.nodes][:SEED_MEMBERS]
        member = Member(
            process.name,
            FLEET_NAME,
            process.address,
            seeds,
            self.membership_config,
            random,
            WALL_CLOCK_MS + self.now // 1000,
            local_now,
        )
        member.piggyback_clients.append(self.factories.local_limits(self.quota, local_now))
        return member

    def kill(self, name: str) -> None:
        """Kill the process; its connections close, so the store abandons its calls."""
        super().kill(name)
        process = self.processes[name]
        process.pending_call = None
        process.calls = []

    def stop_before_write(self, name: str) -> None:
        """Stop a node after it admitted a call and read the clock, before it writes the call."""
        process = self.processes[name]
        if not self.is_rate and self.mode == SharingMode.STRICT and process.demand > 0:
            process.limiter.now_us = self.clock(process)
            acquired = process.limiter.try_acquire(process)
            if acquired and acquired[0]:
                process.pending_call = min(self._draw_call_us(), int(acquired[1] / process.clock_rate))
        self.stop(name)

    def resume(self, name: str) -> None:
        """Resume a stopped process; it first writes the call that it had admitted."""
        process = self.processes[name]
        if process.pending_call is not None:
            process.calls.append(StoreCall(self.now + process.pending_call, True, True))
            process.pending_call = None
        super().resume(name)

    def clock(self, process: QuotaProcess) -> int:
        """Return the time on the process's own clock."""
        return process.clock_origin + int((self.now - process.clock_origin) * process.clock_rate)

    def tick_interval(self, process: QuotaProcess) -> int:
        """Return the process's tick interval, converted to simulation time."""
        return int(TICK_US / process.clock_rate)

    def after_tick(self, process: QuotaProcess) -> None:
        """Make the calls of a running node."""
        if process.is_node and not process.stopped:
            self._make_calls(process)

    def handle_effect(self, process: QuotaProcess, effect: tuple) -> None:
        """Record the effect, and apply a new allowance to the limiter."""
        self.trace.update(f"{self.now} {process.name} {effect}".encode())
        if isinstance(effect, LimitAllowance):
            process.limiter.now_us = self.clock(process)
            process.limiter.set_allowance(effect.floor, effect.amount, effect.until)
            self._make_calls(process)

    # ---- calls, admitted by the node's limiter

    def _draw_call_us(self) -> int:
        return int(self.random.expovariate(1 / self.call_us)) + MIN_CALL_US

    def _make_calls(self, process: QuotaProcess) -> None:
        process.limiter.now_us = self.clock(process)
        if process.stopped or process.machine is None:
            return
        if self.is_rate:
            self._make_rate_limited_calls(process)
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
            acquired = process.limiter.try_acquire(process)
            if acquired is None:
                break
            leased, max_duration = acquired
            duration = self._draw_call_us()
            if max_duration is not None:
                duration = min(duration, int(max_duration / process.clock_rate))
            process.calls.append(StoreCall(self.now + duration, leased, False))
            self.schedule(self.now + duration, self._end_call, process)

    def _end_call(self, process: QuotaProcess) -> None:
        if not self.is_rate:
            self._make_calls(process)

    def _make_rate_limited_calls(self, process: QuotaProcess) -> None:
        """Attempt `demand` calls per second; attempts that the limiter refuses are not repeated."""
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
        """Report the limiter's usage to the node's state machine."""
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

    # ---- counts at the store, and the bounds

    def count(self) -> tuple[int, int]:
        """Return the number of calls in progress at the store, and the number of them written late."""
        calls = [
            call for process in self.processes.values() for call in process.calls if call.ends_at > self.now
        ]
        return len(calls), sum(call.written_late for call in calls)

    def overshoot_bound(self) -> int:
        """Return by how much calls in progress may exceed the limit under any faults."""
        if self.mode == SharingMode.LOOSE:
            return self.quota.loose_overshoot_bound(self.limit, len(self.nodes))
        return 0 if self.mode == SharingMode.STRICT else FOREVER_US

    def bounded_amount(self) -> int:
        """Return the limit plus the amount by which it may be exceeded under any faults."""
        if self.mode == SharingMode.LOOSE:
            return self.limit.amount + self.overshoot_bound()
        return self.limit.amount

    def after_step(self, _: object) -> None:
        """Add usage and demand since the last step to the statistics, and check the bound."""
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
        max_level = self.limit.burst * self.bounded_amount() / self.limit.amount
        checked = self.mode in (SharingMode.STRICT, SharingMode.LOOSE)
        if checked and self.level > max_level + 1e-6:
            raise InvariantError(
                f"seed {self.seed}, {self.now / SECOND:.3f} s: the bucket level {self.level:.1f} exceeds "
                f"{max_level} at a rate of {self.bounded_amount()} per second"
            )

    def _check_in_hand(self) -> None:
        self.in_hand, late_calls = self.count()
        self.worst = max(self.worst, self.in_hand - late_calls)
        self.remainder = max(self.remainder, late_calls)
        if self.in_hand - late_calls > self.limit.amount + self.overshoot_bound():
            usage_by_process = {
                name: (
                    len(process.calls),
                    process.amount,
                    (process.limiter.until - self.clock(process)) // 1000,
                )
                for name, process in self.processes.items()
                if process.calls
            }
            raise InvariantError(
                f"seed {self.seed}, {self.now / SECOND:.3f} s: {self.in_hand} calls in progress exceed the "
                f"limit of {self.limit.amount}; (calls, leased amount, lease left in ms) by process: "
                f"{usage_by_process}"
            )

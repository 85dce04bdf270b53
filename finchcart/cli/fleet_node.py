"""One node that takes part in a fleet: joins finchcart/node_process.py with the fleet's thread.

Owns the start of what a settings file asks for, and how a file that is read again is taken: whole or not at
all. It must never be imported where no settings file is named.
"""

import random
import time
from collections.abc import Callable
from dataclasses import replace
from queue import SimpleQueue

from loguru import logger
from msgspec import UNSET

from finchcart.cli.log_output import LOG_FORMATS
from finchcart.consensus import messages as consensus_messages
from finchcart.consensus.evidence import Evidence
from finchcart.consensus.inputs import ConsensusConfigChanged, EvidenceCollected
from finchcart.consensus.store import ConsensusStore
from finchcart.errors import SettingsError
from finchcart.fleet.codec import parse_address
from finchcart.fleet.inputs import Leave
from finchcart.fleet_participant import FleetParticipant, Reduce
from finchcart.fleet_settings.configs import (
    consensus_config,
    key_lease_config,
    membership_config,
    quota_config,
)
from finchcart.fleet_settings.file import load_settings
from finchcart.fleet_settings.schema import Settings
from finchcart.key_leases import messages as key_lease_messages
from finchcart.key_leases.client import KeyLeaseClient
from finchcart.membership import messages as membership_messages
from finchcart.membership.inputs import MembershipConfigChanged, PiggybackInput
from finchcart.membership.member import Member
from finchcart.net.clock import boot_clock
from finchcart.net.datagrams import DatagramEndpoint, MachineInput, StateMachine
from finchcart.node.core import Core
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.effects import Effect, KeyLeaseAction
from finchcart.node.fleet_inputs import fleet_input, key_lease_client_input
from finchcart.node.inputs import Drain, Input, ReloadConfig
from finchcart.node.key_leases import KeyLeaseGate
from finchcart.node.limiter_set import LimiterSet
from finchcart.node.observer import NodeObserver
from finchcart.node_process import run_node
from finchcart.quota import messages as quota_messages
from finchcart.quota.inputs import QuotaConfigChanged, UsageReported
from finchcart.quota.lease_holder import LeaseHolder
from finchcart.quota.limits import Limit, QuotaConfig
from finchcart.quota.local_limits import LocalLimits

PROBE_LIMIT = "store, trial calls"  # the limit by which the fleet shares the calls to a store that is down
FIXED_FIELDS = ("name", "listen", "advertise", "seeds")  # for as long as the process lives
NANOSECONDS_PER_MILLISECOND = 1_000_000


def serve(path: str | None, log_format: str) -> int:
    """Serve as a node, in a fleet where the settings file configures one; return the status of the process.

    Arguments:
        path: of the settings file, or None.
        log_format: one of `LOG_FORMATS`.
    """

    def join_fleet(inputs: SimpleQueue[Input], name: str) -> FleetParticipant | None:
        settings = load_settings(path)
        return None if settings.fleet is UNSET else FleetNode(inputs, path, settings, name)

    return run_node(LOG_FORMATS[log_format], join_fleet if path else None)


def limits_with_probes(settings: Settings) -> QuotaConfig | None:
    """Return the limits, with consensus the one on probe calls among them; None where there are neither."""
    quota = quota_config(settings)
    consensus = consensus_config(settings)
    if not consensus:
        return quota
    probe_limit = Limit(PROBE_LIMIT, consensus.probe_calls, counts="trial", mode="loose")
    quota = quota or QuotaConfig()
    return replace(quota, limits=(*quota.limits, probe_limit))


class FleetNode:
    """The `FleetParticipant` of a node. `name`: of the node, which is its name in the fleet as well."""

    def __init__(self, inputs: SimpleQueue[Input], path: str, settings: Settings, name: str) -> None:
        self._path = path
        self._settings = settings
        self._name = name
        self._quota = limits_with_probes(settings)
        self._wall_ms = time.time_ns() // NANOSECONDS_PER_MILLISECOND
        self._random = random.Random(random.SystemRandom().getrandbits(64))
        self._datagrams = DatagramEndpoint(
            parse_address(settings.fleet.listen),
            self._make_machines,
            lambda change: inputs.put(fleet_input(change)),
            self._reload,
        )

    def _make_machines(self, now: int) -> dict[bytes, StateMachine]:
        """By channel: the member, and the state machines of what else is configured."""
        fleet = self._settings.fleet
        member = self._make_member(now)
        machines: dict[bytes, StateMachine] = {membership_messages.CHANNEL: member}
        if self._quota:
            holder = LeaseHolder(self._name, fleet.name, self._quota, self._random, now)
            local_limits = LocalLimits(self._quota, now)
            member.piggyback_clients.append(local_limits)
            holder.local_status = local_limits.status
            machines[quota_messages.CHANNEL] = holder
        consensus = consensus_config(self._settings)
        if consensus:
            store = ConsensusStore(self._name, fleet.name, consensus, now)
            member.piggyback_clients.append(store)
            machines[consensus_messages.CHANNEL] = store
        key_leases = key_lease_config(self._settings)
        if key_leases:
            machines[key_lease_messages.CHANNEL] = KeyLeaseClient(
                self._name, fleet.name, key_leases, self._random, now
            )
        return machines

    def _make_member(self, now: int) -> Member:
        fleet = self._settings.fleet
        return Member(
            self._name,
            fleet.name,
            fleet.listen if fleet.advertise is UNSET else fleet.advertise,
            fleet.seeds,
            membership_config(fleet),
            self._random,
            self._wall_ms,
            now,
        )

    # ---- What holds the core to the fleet's decisions

    def limiters(self) -> LimiterSet | None:
        """Return the limiters of all limits that this node is held to; new ones wait for the next start."""
        if not self._quota:
            return None
        limiters = LimiterSet(self._quota.limits, self._quota.write_slack, self._quota.max_processes)
        consensus = consensus_config(self._settings)
        if consensus:
            limiters.recovery_step_us = consensus.recovery_step
            limiters.probe_timeout_us = consensus.probe_timeout
        return limiters

    def observer(self) -> NodeObserver | None:
        """Return what observes for the fleet's consensus, where there is one."""
        consensus = consensus_config(self._settings)
        return NodeObserver(consensus) if consensus else None

    def key_lease_factory(self) -> Callable[[EffectBuffer], KeyLeaseGate] | None:
        """Return what makes the core's part that gets key leases, where there are any."""
        key_leases = key_lease_config(self._settings)
        return (
            (lambda effect_buffer: KeyLeaseGate(effect_buffer, key_leases.lease_duration))
            if key_leases
            else None
        )

    def reducer(self, core: Core) -> Reduce:
        """Return the core's `reduce`, with the boot clock set before each input."""
        limiters = core.limiters
        key_leases = core.key_leases
        if limiters is None and key_leases is None:
            return core.reduce

        def reduce(now: int, received: Input) -> list[Effect]:
            boot = boot_clock()
            if limiters:
                limiters.set_clock(boot)
            if key_leases:
                key_leases.now_us = boot
            return core.reduce(now, received)

        return reduce

    # ---- Effects of the core

    def publish_usage(self, limit: str, in_use: int, demand: int, priority_demand: int) -> None:
        """Tell the holder of strict limits, or the members, what this node uses and wants of a limit."""
        usage = UsageReported(limit, in_use, demand, priority_demand)
        if any(strict.name == limit for strict in self._quota.strict_limits):
            self._datagrams.post(quota_messages.CHANNEL, usage)
        else:
            self._datagrams.post(membership_messages.CHANNEL, PiggybackInput(usage))

    def publish_evidence(self, evidence: Evidence) -> None:
        """Hand on what the core observed."""
        self._datagrams.post(consensus_messages.CHANNEL, EvidenceCollected(evidence))

    def command_key_lease(self, command: KeyLeaseAction) -> None:
        """Hand a command to the key lease client, at once."""
        self._datagrams.post_now(key_lease_messages.CHANNEL, key_lease_client_input(command))

    # ---- The process

    def start(self) -> None:
        """Start the fleet's thread."""
        self._datagrams.start()
        fleet = self._settings.fleet
        line = logger.bind(fleet=fleet.name, listen=fleet.listen)
        line.info("members: {} on {}", fleet.name, fleet.listen)

    def stop(self) -> None:
        """Tell the others of the end, and wait for the thread."""
        self._datagrams.stop()

    def on_signal(self, notice: Drain | ReloadConfig) -> None:
        """Pass a signal's notice on; called in its handler, which may not log."""
        if isinstance(notice, Drain):
            self._datagrams.post(None, Leave())
        elif isinstance(notice, ReloadConfig):
            self._datagrams.post_reload()

    def _reload(self) -> list[tuple[bytes, MachineInput]]:
        """Read the settings file once more; return inputs by channel, none where it can't be used."""
        try:
            settings = load_settings(self._path)
            fixed = self._changed_fixed_fields(settings)
            if fixed:
                raise SettingsError(
                    [f"{self._path}: fleet.{name}: waits for the next start" for name in fixed]
                )
        except SettingsError as error:
            for mistake in error.mistakes:
                logger.error("settings not taken: {}", mistake)
            return []
        self._settings = settings
        logger.info("settings taken from {}", self._path)
        return self._config_inputs()

    def _changed_fixed_fields(self, settings: Settings) -> list[str]:
        """Return what is new that only a start can take; only the first part that has any is looked at."""
        used = self._settings
        fixed = [
            name
            for name in FIXED_FIELDS
            if settings.fleet is UNSET or getattr(settings.fleet, name) != getattr(used.fleet, name)
        ]
        if fixed:
            return fixed
        if bool(quota_config(settings)) != bool(quota_config(used)):
            return ["planners"]
        if bool(consensus_config(settings)) != bool(consensus_config(used)):
            return ["verdicts"]
        if key_lease_config(settings) != key_lease_config(used):
            return ["claims"]
        return []

    def _config_inputs(self) -> list[tuple[bytes, MachineInput]]:
        """Return the inputs by which the state machines take the settings in force."""
        settings = self._settings
        member_config = membership_config(settings.fleet)
        inputs: list[tuple[bytes, MachineInput]] = [
            (membership_messages.CHANNEL, MembershipConfigChanged(member_config))
        ]
        consensus = consensus_config(settings)
        if consensus:
            inputs.append((consensus_messages.CHANNEL, ConsensusConfigChanged(consensus)))
        if self._quota:
            self._quota = limits_with_probes(settings)
            config = QuotaConfigChanged(self._quota)
            inputs.append((quota_messages.CHANNEL, config))
            inputs.append((membership_messages.CHANNEL, PiggybackInput(config)))
        return inputs

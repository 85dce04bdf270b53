"""A node that takes part in a fleet: connects the node of finchcart/node_process.py to the fleet's thread.

This module creates the parts that a settings file configures, and decides which changes of the file need a
restart. It must never be imported when no settings file is given.
"""

import random
import time
from collections.abc import Callable
from queue import SimpleQueue

from loguru import logger
from msgspec import UNSET

from finchcart.cli.fleet_state_machines import limits_with_probes, make_state_machines
from finchcart.cli.log_output import LOG_FORMATS
from finchcart.cli.settings_reload import reread_settings
from finchcart.consensus import messages as consensus_messages
from finchcart.consensus.evidence import Evidence
from finchcart.consensus.inputs import ConsensusConfigChanged, EvidenceCollected
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
from finchcart.fleet_settings.schema import FleetSettings, Settings
from finchcart.key_leases import messages as key_lease_messages
from finchcart.membership import messages as membership_messages
from finchcart.membership.inputs import MembershipConfigChanged, PiggybackInput
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

FIXED_FIELDS = ("name", "listen", "advertise", "seeds")  # fields of `fleet` whose change needs a restart
NANOSECONDS_PER_MILLISECOND = 1_000_000


def serve(path: str | None, log_format: str) -> int:
    """Serve as a node, in a fleet if the settings file configures one; return the exit status.

    Arguments:
        path: the path of the settings file, or None.
        log_format: a key of `LOG_FORMATS`.
    """

    def join_fleet(inputs: SimpleQueue[Input], name: str) -> FleetParticipant | None:
        if not path:
            return None
        settings = load_settings(path)
        return None if settings.fleet is UNSET else FleetNode(inputs, path, settings, settings.fleet, name)

    return run_node(LOG_FORMATS[log_format], join_fleet if path else None)


class FleetNode:
    """The `FleetParticipant` of a node.

    Arguments:
        inputs: the input queue of the node's core.
        path: the path of the settings file.
        settings: the contents of the settings file.
        fleet: the block `fleet` of the settings.
        name: the name of the node, also within the fleet.
    """

    def __init__(
        self, inputs: SimpleQueue[Input], path: str, settings: Settings, fleet: FleetSettings, name: str
    ) -> None:
        self._path = path
        self._settings = settings
        self._fleet = fleet
        self._name = name
        self._quota = limits_with_probes(settings)
        self._wall_ms = time.time_ns() // NANOSECONDS_PER_MILLISECOND
        self._random = random.Random(random.SystemRandom().getrandbits(64))
        self._datagrams = DatagramEndpoint(
            parse_address(fleet.listen),
            self._make_machines,
            lambda change: inputs.put(fleet_input(change)),
            self._reload,
        )

    def _make_machines(self, now: int) -> dict[bytes, StateMachine]:
        """Return the configured state machines by channel."""
        return make_state_machines(self._name, self._settings, self._fleet, self._random, self._wall_ms, now)

    # ---- Parts of the core that enforce the fleet's decisions

    def limiters(self) -> LimiterSet | None:
        """Return the limiters of this node. Limits that are added later take effect at the next start."""
        if not self._quota:
            return None
        limiters = LimiterSet(self._quota.limits, self._quota.write_slack, self._quota.max_processes)
        consensus = consensus_config(self._settings)
        if consensus:
            limiters.recovery_step_us = consensus.recovery_step
            limiters.probe_timeout_us = consensus.probe_timeout
        return limiters

    def observer(self) -> NodeObserver | None:
        """Return the observer that collects evidence for the fleet's consensus, or None."""
        consensus = consensus_config(self._settings)
        return NodeObserver(consensus) if consensus else None

    def key_lease_factory(self) -> Callable[[EffectBuffer], KeyLeaseGate] | None:
        """Return the factory for the core's key lease part, or None if key leases are not configured."""
        key_leases = key_lease_config(self._settings)
        return (
            (lambda effect_buffer: KeyLeaseGate(effect_buffer, key_leases.lease_duration))
            if key_leases
            else None
        )

    def reducer(self, core: Core) -> Reduce:
        """Return a function like the core's `reduce` that also sets the boot clock before each input."""
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
        """Post this node's use of a limit and demand for it.

        The lease holder receives the usage of a strict limit. The usage of any other limit is gossiped.
        """
        usage = UsageReported(limit, in_use, demand, priority_demand)
        strict_limits = self._quota.strict_limits if self._quota else ()
        if any(strict.name == limit for strict in strict_limits):
            self._datagrams.post(quota_messages.CHANNEL, usage)
        else:
            self._datagrams.post(membership_messages.CHANNEL, PiggybackInput(usage))

    def publish_evidence(self, evidence: Evidence) -> None:
        """Post the core's observations to the consensus store."""
        self._datagrams.post(consensus_messages.CHANNEL, EvidenceCollected(evidence))

    def command_key_lease(self, command: KeyLeaseAction) -> None:
        """Post a command to the key lease client, which handles it without waiting for the next tick."""
        self._datagrams.post_now(key_lease_messages.CHANNEL, key_lease_client_input(command))

    # ---- The process

    def start(self) -> None:
        """Start the fleet's thread."""
        self._datagrams.start()
        fleet = self._fleet
        line = logger.bind(fleet=fleet.name, listen=fleet.listen)
        line.info("members: joining fleet {}, listening on {}", fleet.name, fleet.listen)

    def stop(self) -> None:
        """Announce to the other members that this node ends, and wait until the fleet's thread has ended."""
        self._datagrams.stop()

    def on_signal(self, signal_input: Drain | ReloadConfig) -> None:
        """Pass the input of a signal to the fleet's thread. Signal handlers call this, so it must not log."""
        if isinstance(signal_input, Drain):
            self._datagrams.post(None, Leave())
        elif isinstance(signal_input, ReloadConfig):
            self._datagrams.post_reload()

    def _reload(self) -> list[tuple[bytes, MachineInput]]:
        """Read the settings file again; return pairs of channel and input, or [] if the file is rejected."""
        settings = reread_settings(self._path, self._changed_fixed_fields)
        if settings is None or settings.fleet is UNSET:
            return []
        self._settings = settings
        self._fleet = settings.fleet
        return self._config_inputs()

    def _changed_fixed_fields(self, settings: Settings) -> list[str]:
        """Return the paths of changed fields that need a restart, from the first block that has any."""
        used = self._settings
        fixed = [
            name
            for name in FIXED_FIELDS
            if settings.fleet is UNSET or getattr(settings.fleet, name) != getattr(self._fleet, name)
        ]
        if not fixed:
            if bool(quota_config(settings)) != bool(quota_config(used)):
                fixed = ["planners"]
            elif bool(consensus_config(settings)) != bool(consensus_config(used)):
                fixed = ["verdicts"]
            elif key_lease_config(settings) != key_lease_config(used):
                fixed = ["claims"]
        return [f"fleet.{name}" for name in fixed]

    def _config_inputs(self) -> list[tuple[bytes, MachineInput]]:
        """Return pairs of channel and input that make the state machines apply the current settings."""
        settings = self._settings
        member_config = membership_config(self._fleet)
        inputs: list[tuple[bytes, MachineInput]] = [
            (membership_messages.CHANNEL, MembershipConfigChanged(member_config))
        ]
        consensus = consensus_config(settings)
        if consensus:
            inputs.append((consensus_messages.CHANNEL, ConsensusConfigChanged(consensus)))
        quota = limits_with_probes(settings)
        if self._quota and quota:
            self._quota = quota
            config = QuotaConfigChanged(quota)
            inputs.append((quota_messages.CHANNEL, config))
            inputs.append((membership_messages.CHANNEL, PiggybackInput(config)))
        return inputs

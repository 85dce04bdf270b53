"""One node that takes part in a fleet: joins finchcart/__main__.py with the members' thread.

Owns the start of what a settings file asks for, and how a file read again is taken: whole or not at all. It
must never be imported where no settings file is named.
"""

import json
import os
import random
import time
from dataclasses import replace

from loguru import logger
from msgspec import UNSET

from finchcart.__main__ import main, plain_log
from finchcart.cli.log_output import json_log
from finchcart.cli.settings_file import (
    consensus_config,
    key_lease_config,
    load_settings,
    membership_config,
    quota_config,
)
from finchcart.consensus import messages as sayings
from finchcart.consensus.store import ConsensusStore
from finchcart.errors import ConfigError, SettingsError
from finchcart.key_leases import messages as claiming
from finchcart.key_leases.client import KeyLeaseClient
from finchcart.membership import messages as base
from finchcart.membership.codec import parse_address
from finchcart.membership.member import Member
from finchcart.net.clock import boot_clock
from finchcart.net.datagrams import DatagramEndpoint
from finchcart.node.fleet_inputs import fleet_input, key_lease_client_input
from finchcart.node.inputs import Drain, ReloadConfig
from finchcart.node.key_leases import KeyLeaseGate
from finchcart.node.limiter_set import LimiterSet
from finchcart.node.observer import NodeObserver
from finchcart.quota import messages as shares
from finchcart.quota.lease_holder import LeaseHolder
from finchcart.quota.limits import Limit, QuotaConfig
from finchcart.quota.local_limits import LocalLimits

TRIAL = "store, trial calls"  # the limit by which the fleet shares the calls to a store that is down
FIXED = "name", "listen", "advertise", "seeds"  # for as long as the process lives


def shared(settings):
    """The limits, and with verdicts the one on trial calls; None where there are neither."""
    asked, held = quota_config(settings), consensus_config(settings)
    if not held:
        return asked
    trial = Limit(TRIAL, held.probe_calls, counts="trial", mode="loose")
    asked = asked or QuotaConfig()
    return replace(asked, limits=(*asked.limits, trial))


class Fleet:
    """The members' part of a node. `name`: of the node, which is its name in the fleet."""

    def __init__(self, inputs, path, settings, name):
        self.path, self.settings = path, settings
        asked = settings.fleet
        advertise = asked.listen if asked.advertise is UNSET else asked.advertise
        wall = time.time_ns() // 1_000_000
        seed = random.SystemRandom().getrandbits(64)
        self.shares = shared(settings)
        self.datagrams = DatagramEndpoint(
            parse_address(asked.listen),
            lambda now: self.machines(now, name, advertise, random.Random(seed), wall),
            lambda change: inputs.put(fleet_input(change)),
            self.reread,
        )

    def machines(self, now, name, advertise, chance, wall):
        """By channel: the member, and the holder where limits are shared."""
        asked = self.settings.fleet
        out = {
            base.CHANNEL: Member(
                name, asked.name, advertise, asked.seeds, membership_config(asked), chance, wall, now
            )
        }
        if self.shares:
            holder = out[shares.CHANNEL] = LeaseHolder(name, asked.name, self.shares, chance, now)
            loose = LocalLimits(self.shares, now)
            out[base.CHANNEL].piggyback_clients.append(loose)
            holder.local_status = loose.status
        held = consensus_config(self.settings)
        if held:
            board = out[sayings.CHANNEL] = ConsensusStore(name, asked.name, held, now)
            out[base.CHANNEL].piggyback_clients.append(board)
        claimed = key_lease_config(self.settings)
        if claimed:
            out[claiming.CHANNEL] = KeyLeaseClient(name, asked.name, claimed, chance, now)
        return out

    def meters(self):
        """Of all limits of the fleet that this node is held to; new ones wait for the next start."""
        if not self.shares:
            return None
        meters = LimiterSet(self.shares.limits, self.shares.slack, self.shares.most)
        held = consensus_config(self.settings)
        if held:
            meters.recovery_step_us, meters.probe_timeout_us = held.recovery_step, held.probe_timeout
        return meters

    def witness(self):
        """What sees for the fleet's verdicts, where there are any."""
        held = consensus_config(self.settings)
        return held and NodeObserver(held)

    def saw(self, evidence):
        self.datagrams.post(sayings.CHANNEL, "evidence", evidence)

    def claims(self):
        """Makes what holds tokened RPCs to claims, where there are any."""
        claimed = key_lease_config(self.settings)
        return claimed and (lambda turn: KeyLeaseGate(turn, claimed.life))

    def claim(self, what):
        self.datagrams.post_now(claiming.CHANNEL, *key_lease_client_input(what))

    def reducer(self, core):
        """The core's `reduce`, with the boot clock told before each turn."""
        meters, claimer = core.limiters, core.key_leases
        if meters is None and claimer is None:
            return core.reduce

        def reduce(now, what):
            boot = boot_clock()
            if meters:
                meters.set_clock(boot)
            if claimer:
                claimer.now_us = boot
            return core.reduce(now, what)

        return reduce

    def use(self, name, *said):
        if any(limit.name == name for limit in self.shares.strict):
            self.datagrams.post(shares.CHANNEL, "use", name, *said)
        else:
            self.datagrams.post(base.CHANNEL, "rider", "use", name, *said)

    def start(self):
        self.datagrams.start()
        asked = self.settings.fleet
        logger.bind(fleet=asked.name, listen=asked.listen).info("members: {} on {}", asked.name, asked.listen)

    def heard(self, what):
        """Of a signal, in its handler."""
        if isinstance(what, Drain):
            self.datagrams.post(None, "leave")
        elif isinstance(what, ReloadConfig):
            self.datagrams.post_reload()  # a handler may not log

    def reread(self):
        """The settings file once more, as inputs by channel; none where it can't be used."""
        try:
            new = load_settings(self.path)
            fixed = [
                name
                for name in FIXED
                if new.fleet is UNSET or getattr(new.fleet, name) != getattr(self.settings.fleet, name)
            ]
            if not fixed and bool(quota_config(new)) != bool(quota_config(self.settings)):
                fixed = ["planners"]
            if not fixed and bool(consensus_config(new)) != bool(consensus_config(self.settings)):
                fixed = ["verdicts"]
            if not fixed and key_lease_config(new) != key_lease_config(self.settings):
                fixed = ["claims"]
            if fixed:
                raise SettingsError(
                    [f"{self.path}: fleet.{name}: waits for the next start" for name in fixed]
                )
        except SettingsError as wrong:
            for line in wrong.mistakes:
                logger.error("settings not taken: {}", line)
            return []
        self.settings = new
        logger.info("settings taken from {}", self.path)
        said = [(base.CHANNEL, ("figures", membership_config(new.fleet)))]
        if consensus_config(new):
            said.append((sayings.CHANNEL, ("figures", consensus_config(new))))
        if self.shares:
            self.shares = shared(new)
            said += [
                (shares.CHANNEL, ("quota", self.shares)),
                (base.CHANNEL, ("rider", "quota", self.shares)),
            ]
        return said

    def end(self):
        self.datagrams.stop()


class Nothing:
    """No fleet is asked for."""

    start = heard = end = use = saw = claim = meters = witness = claims = lambda self, *_: None

    def reducer(self, core):
        return core.reduce


def serve(path, log):
    """Status of the process."""

    def join(inputs):
        try:
            settings = load_settings(path)
        except SettingsError as wrong:
            raise ConfigError(str(wrong)) from None
        if settings.fleet is UNSET:
            return Nothing()
        with open(os.environ["ROUTER_CONFIG"], encoding="utf-8") as file:
            name = str(json.load(file)["name"])
        return Fleet(inputs, path, settings, name)

    return main({"json": json_log, "text": plain_log}[log], join if path else None)

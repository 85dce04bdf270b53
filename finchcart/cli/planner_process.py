"""One planner process: shares the fleet's limits out, and keeps key leases where it is named for that.

Owns the life of the process, and how a settings file read again is taken: whole or not at all.
"""

import queue
import random
import signal
import sys

from loguru import logger

from finchcart.__main__ import plain_log
from finchcart.cli.log_output import json_log
from finchcart.cli.settings_file import key_lease_config, load_settings, quota_config
from finchcart.errors import SettingsError
from finchcart.key_leases import messages as claiming
from finchcart.key_leases.replica import KeyLeaseReplica
from finchcart.membership.codec import parse_address
from finchcart.net.datagrams import DatagramEndpoint
from finchcart.quota import messages as shares
from finchcart.quota.planner import Planner


def plan(path, place, listen, log):
    """One planner, until it is told to end; `place`: its address as the settings name it. Status of the
    process."""
    {"json": json_log, "text": plain_log}[log]()
    try:
        settings = load_settings(path)
        shared_out = (
            quota_config(settings) if quota_config(settings) and place in settings.quota.planners else None
        )
        claimed = (
            key_lease_config(settings)
            if key_lease_config(settings) and place in settings.claims.keepers
            else None
        )
        if not shared_out and not claimed:
            raise SettingsError([f"{path}: quota.planners, claims.keepers: {place} is not among them"])
    except SettingsError as wrong:
        print(f"finchcart: {wrong}", file=sys.stderr)
        return 2
    told = queue.SimpleQueue()
    for number, what in ((signal.SIGTERM, "end"), (signal.SIGINT, "end"), (signal.SIGHUP, "reread")):
        signal.signal(number, lambda *_, what=what: told.put(what))
    chance = random.Random(random.SystemRandom().getrandbits(64))

    def again():
        try:
            new = load_settings(path)
            if shared_out and (not quota_config(new) or quota_config(new).planners != shared_out.planners):
                raise SettingsError([f"{path}: quota.planners: waits for the next start"])
            if key_lease_config(new) != key_lease_config(settings):
                raise SettingsError([f"{path}: claims: waits for the next start"])
        except SettingsError as wrong:
            for line in wrong.mistakes:
                logger.error("settings not taken: {}", line)
            return []
        logger.info("settings taken from {}", path)
        return [(shares.CHANNEL, ("quota", quota_config(new)))] if shared_out else []

    def machines(now):
        """By channel: the planner of limits, the keeper of claims."""
        out = {}
        if shared_out:
            out[shares.CHANNEL] = Planner(place, settings.fleet.name, shared_out, chance, now)
        if claimed:
            out[claiming.CHANNEL] = KeyLeaseReplica(settings.fleet.name, claimed, now)
        return out

    try:
        datagrams = DatagramEndpoint(parse_address(listen or place), machines, lambda change: None, again)
    except OSError as error:
        print(f"finchcart: {listen or place}: {error.strerror}", file=sys.stderr)
        return 2
    datagrams.start()
    logger.info("planner {} of {}", place, settings.fleet.name)
    while (what := told.get()) != "end":
        datagrams.post_reload()
    datagrams.stop()
    logger.info("ended")
    return 0

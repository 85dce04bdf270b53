"""A planner process: allocates the fleet's limits, votes on key leases, or both, as the settings say.

This module starts and ends the process, and decides which changes of the settings file need a restart.
"""

import queue
import random
import signal
import sys
from types import FrameType

from loguru import logger

from finchcart.cli.log_output import LOG_FORMATS
from finchcart.cli.settings_reload import reread_settings
from finchcart.errors import SettingsError
from finchcart.fleet.codec import parse_address
from finchcart.fleet_settings.configs import key_lease_config, quota_config
from finchcart.fleet_settings.file import load_settings
from finchcart.fleet_settings.schema import Settings
from finchcart.key_leases import messages as key_lease_messages
from finchcart.key_leases.replica import KeyLeaseReplica
from finchcart.net.datagrams import DatagramEndpoint, MachineInput, StateMachine
from finchcart.node_process import EXIT_NOT_STARTED
from finchcart.quota import messages as quota_messages
from finchcart.quota.inputs import QuotaConfigChanged
from finchcart.quota.planner import Planner

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def plan(path: str, address: str, listen: str | None, log_format: str) -> int:
    """Serve as a planner until a signal ends the process; return the exit status.

    Arguments:
        path: the path of the settings file.
        address: the address of this planner, as listed in the settings.
        listen: the address to listen on, if it differs from `address`.
        log_format: a key of `LOG_FORMATS`.
    """
    LOG_FORMATS[log_format]()
    try:
        planner = PlannerProcess(path, address)
    except SettingsError as error:
        print(f"finchcart: {error}", file=sys.stderr)
        return EXIT_NOT_STARTED
    signals: queue.SimpleQueue[int] = queue.SimpleQueue()

    def on_signal(number: int, _: FrameType | None) -> None:
        signals.put(number)

    for number in (*STOP_SIGNALS, signal.SIGHUP):
        signal.signal(number, on_signal)
    bound_to = listen or address
    try:
        datagrams = DatagramEndpoint(
            parse_address(bound_to), planner.make_machines, lambda change: None, planner.reload
        )
    except OSError as error:
        print(f"finchcart: {bound_to}: {error.strerror}", file=sys.stderr)
        return EXIT_NOT_STARTED
    datagrams.start()
    logger.info("planner {} of fleet {} started", address, planner.fleet_name)
    while signals.get() not in STOP_SIGNALS:
        datagrams.post_reload()
    datagrams.stop()
    logger.info("ended")
    return 0


class PlannerProcess:
    """The state machines of a planner. Raises SettingsError if the settings do not list its address."""

    def __init__(self, path: str, address: str) -> None:
        self._path = path
        self._address = address
        self._settings = settings = load_settings(path)
        self.fleet_name = settings.fleet.name if settings.fleet else ""
        quota = quota_config(settings)
        key_leases = key_lease_config(settings)
        self._quota = quota if quota and address in quota.planners else None
        self._key_leases = key_leases if key_leases and address in key_leases.replicas else None
        if not self._quota and not self._key_leases:
            raise SettingsError([f"{path}: quota.planners, claims.keepers: {address} is not among them"])
        self._random = random.Random(random.SystemRandom().getrandbits(64))

    def make_machines(self, now: int) -> dict[bytes, StateMachine]:
        """Return the configured state machines by channel: the planner of limits, the key lease replica."""
        machines: dict[bytes, StateMachine] = {}
        if self._quota:
            machines[quota_messages.CHANNEL] = Planner(
                self._address, self.fleet_name, self._quota, self._random, now
            )
        if self._key_leases:
            machines[key_lease_messages.CHANNEL] = KeyLeaseReplica(self.fleet_name, self._key_leases, now)
        return machines

    def reload(self) -> list[tuple[bytes, MachineInput]]:
        """Read the settings file again; return pairs of channel and input, or [] if the file is rejected."""
        settings = reread_settings(self._path, self._changed_fixed_fields)
        quota = quota_config(settings) if settings else None
        if not self._quota or not quota:
            return []
        return [(quota_messages.CHANNEL, QuotaConfigChanged(quota))]

    def _changed_fixed_fields(self, settings: Settings) -> list[str]:
        """Return the path of the first changed field that needs a restart, or an empty list."""
        quota = quota_config(settings)
        if self._quota and (not quota or quota.planners != self._quota.planners):
            return ["quota.planners"]
        if key_lease_config(settings) != key_lease_config(self._settings):
            return ["claims"]
        return []

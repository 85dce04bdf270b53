"""Options of a fleet of processes: its load, planners, limits, health verdicts and key leases."""

from collections.abc import Sequence
from dataclasses import dataclass

from finchcart.fault_injection.scripted_runs.script import Script, ScriptedLoad


@dataclass(frozen=True)
class FleetOptions:
    """What a fleet has besides its nodes; the dicts are blocks of the settings file."""

    load: ScriptedLoad | None = None
    exchange_messages: bool = True  # whether the nodes form a fleet, or run on their own
    planners: int = 0
    spares: int = 0  # addresses for processes with the name of another node
    limits: Sequence[dict] = ()
    quota: dict | None = None
    static: bool = False  # whether each node gets a fixed share of the limit
    verdicts: dict | None = None
    claims: dict | None = None

    @classmethod
    def from_script(cls, script: Script, exchange_messages: bool = True) -> "FleetOptions":
        """Return the options that a script asks for."""
        return cls(
            load=script.load,
            exchange_messages=exchange_messages,
            planners=0 if script.static else script.planners,
            spares=script.spares,
            limits=script.limits,
            quota=script.quota,
            static=script.static,
            verdicts=script.verdicts,
            claims=None if script.claims_off else script.claims,
        )

    def shared_settings(self, planners: list[str]) -> dict:
        """Return the blocks that all settings files have in common.

        `planners` are the addresses of the planners.
        """
        shared = {}
        if self.limits and not self.static:
            shared["limits"] = list(self.limits)
            shared["quota"] = {"planners": planners, **(self.quota or {})}
        if self.verdicts is not None and self.exchange_messages:
            shared["verdicts"] = self.verdicts
        if self.claims is not None and self.exchange_messages:
            shared["claims"] = {"keepers": planners, **self.claims}
        return shared

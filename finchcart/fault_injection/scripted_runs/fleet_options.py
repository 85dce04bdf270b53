"""What a fleet of processes has beside its nodes."""

from collections.abc import Sequence
from dataclasses import dataclass

from finchcart.fault_injection.scripted_runs.script import Script, ScriptedLoad


@dataclass(frozen=True)
class FleetOptions:
    """What a fleet has beside its nodes; the dicts are blocks of the settings file."""

    load: ScriptedLoad | None = None
    talk: bool = True  # whether the nodes exchange anything
    planners: int = 0
    spares: int = 0
    limits: Sequence[dict] = ()
    quota: dict | None = None
    static: bool = False  # each node is told its part of the limit
    verdicts: dict | None = None
    claims: dict | None = None

    @classmethod
    def of_script(cls, script: Script, talk: bool = True) -> "FleetOptions":
        """Return what a script asks for."""
        return cls(
            load=script.load,
            talk=talk,
            planners=0 if script.static else script.planners,
            spares=script.spares,
            limits=script.limits,
            quota=script.quota,
            static=script.static,
            verdicts=script.verdicts,
            claims=None if script.claims_off else script.claims,
        )

    def shared_settings(self, planners: list[str]) -> dict:
        """Return the blocks that all settings files have; `planners` are the planners' addresses."""
        shared = {}
        if self.limits and not self.static:
            shared["limits"] = list(self.limits)
            shared["quota"] = {"planners": planners, **(self.quota or {})}
        if self.verdicts is not None and self.talk:
            shared["verdicts"] = self.verdicts
        if self.claims is not None and self.talk:
            shared["claims"] = {"keepers": planners, **self.claims}
        return shared

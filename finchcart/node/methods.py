"""What the settings say of each method, as far as the node itself needs it.

Owns one record a method, filled once at start. It must never decide by them: the decision module reads the
settings by itself.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

DEFAULT_DEADLINE_US = 5_000_000
KEYED = "keyed"
IDEMPOTENT = "idempotent"


class MethodInfo(NamedTuple):
    """One method. Times are whole microseconds."""

    kind: str | None  # KEYED, IDEMPOTENT or "non_idempotent"
    degraded_value: float  # of an answer without its optional call; 0: the call is not optional
    deadline_us: int
    late_read_us: int  # so long after its arrival an RPC may still be read
    has_priority: bool  # it is more critical than the least critical method


def read_methods(settings: Mapping[str, Any], late_read_us: int) -> dict[str, MethodInfo]:
    """The methods by name. `late_read_us`: RPCs may be read so long after their deadline."""
    numbers = range(settings.get("methods.count", 0))
    names = {number: settings.get(f"methods.{number}.name") for number in numbers}
    criticality = {name: settings.get(f"methods.{number}.criticality") or 0 for number, name in names.items()}
    least = min(criticality.values(), default=0)
    degraded = settings.get("degraded_value", 0)
    methods = {}
    for number, name in names.items():
        deadline_us = settings.get(f"methods.{number}.deadline")
        methods[name] = MethodInfo(
            kind=settings.get(f"methods.{number}.kind"),
            degraded_value=degraded[number] if isinstance(degraded, tuple) else degraded,
            deadline_us=deadline_us or DEFAULT_DEADLINE_US,
            # A retry that reached the machine while a key was kept may be read as late as its deadline.
            late_read_us=(deadline_us or 0) + late_read_us,
            has_priority=criticality[name] > least,
        )
    return methods

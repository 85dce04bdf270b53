"""What the settings say of each method, as far as the node itself needs it.

Owns one record a method, filled once at start. It must never decide by them: the decision module reads the
settings by itself.
"""

from typing import NamedTuple

from finchcart.decisions.node_settings import DEFAULT_DEADLINE_US, MethodKind, NodeSettings


class MethodInfo(NamedTuple):
    """One method. Times are whole microseconds."""

    is_idempotent: bool
    is_keyed: bool  # its requests carry an idempotency key
    degraded_value: float  # of an answer without its optional call; 0: the call is not optional
    deadline_us: int
    late_read_us: int  # so long after its arrival an RPC may still be read
    has_priority: bool  # it is more critical than the least critical method


def read_methods(settings: NodeSettings, late_read_us: int) -> dict[str, MethodInfo]:
    """Return the methods by name. `late_read_us`: RPCs may be read so long after their deadline."""
    # Unlike the decision module, the node ranks a method without a configured criticality below all others.
    least = min((method.criticality or 0 for method in settings.methods), default=0)
    methods = {}
    for method in settings.methods:
        methods[method.name] = MethodInfo(
            is_idempotent=method.kind is MethodKind.IDEMPOTENT,
            is_keyed=method.kind is MethodKind.KEYED,
            degraded_value=method.degraded_value,
            deadline_us=method.deadline_us or DEFAULT_DEADLINE_US,
            # A retry that reached the machine while a key was kept may be read as late as its deadline.
            late_read_us=(method.deadline_us or 0) + late_read_us,
            has_priority=(method.criticality or 0) > least,
        )
    return methods

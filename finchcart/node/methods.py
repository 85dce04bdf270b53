"""The settings of each method that the node itself needs, read once at start.

The node must never base a decision about an RPC on these records: the decision module reads the settings
itself.
"""

from typing import NamedTuple

from finchcart.decisions.node_settings import DEFAULT_DEADLINE_US, MethodKind, NodeSettings


class MethodInfo(NamedTuple):
    """The settings of one method. Times are whole microseconds."""

    is_idempotent: bool
    is_keyed: bool  # whether the method's RPCs carry an idempotency key
    degraded_value: float  # the value of an answer without the optional call; 0 if the call is not optional
    deadline_us: int
    late_read_us: int  # how long after its arrival an RPC may still be read
    has_priority: bool  # whether the method is more critical than the least critical method


def read_methods(settings: NodeSettings, late_read_us: int) -> dict[str, MethodInfo]:
    """Return the methods by name; RPCs may be read up to `late_read_us` after their deadline."""
    # Unlike the decision module, the node ranks a method without a configured criticality below all others.
    least = min((method.criticality or 0 for method in settings.methods), default=0)
    methods = {}
    for method in settings.methods:
        methods[method.name] = MethodInfo(
            is_idempotent=method.kind is MethodKind.IDEMPOTENT,
            is_keyed=method.kind is MethodKind.KEYED,
            degraded_value=method.degraded_value,
            deadline_us=method.deadline_us or DEFAULT_DEADLINE_US,
            # A retry that arrived within the key's window may be read late, until its own deadline is over.
            late_read_us=(method.deadline_us or 0) + late_read_us,
            has_priority=(method.criticality or 0) > least,
        )
    return methods

"""The type for a problem in one field of a configuration.

Each package checks its own configuration and reports problems with this type.
"""

from typing import NamedTuple


class FieldProblem(NamedTuple):
    """An error in a field of a configuration, or a value that is probably not intended."""

    field: str  # the name of the field in the settings file
    reason: str

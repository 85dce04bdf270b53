"""The problem that a check of a configuration finds in one field.

Owns the type alone: the checks are those of the packages whose configuration it is.
"""

from typing import NamedTuple


class FieldProblem(NamedTuple):
    """What is wrong with a field of a configuration, or seldom meant."""

    field: str  # its key in the settings file
    reason: str

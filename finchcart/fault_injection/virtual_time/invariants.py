"""The error of a simulation whose property did not hold."""


class InvariantError(AssertionError):
    """A property that did not hold: what, when, and in which seed."""

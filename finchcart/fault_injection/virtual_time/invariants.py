"""Defines the error that simulations raise when an invariant is violated."""


class InvariantError(AssertionError):
    """An invariant was violated; the message names the invariant and, where known, the time and the seed."""

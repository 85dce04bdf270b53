"""The inputs of a key lease client, besides those of finchcart/fleet/inputs.py.

Owns their types alone.
"""

from collections.abc import Sequence
from typing import NamedTuple

from finchcart.key_leases.messages import LeaseStatus


class KeyToLease(NamedTuple):
    """A key whose lease is wanted."""

    key: bytes
    payload_digest: int
    duration_us: int


class AcquireKeyLeases(NamedTuple):
    """Acquire the leases of these keys."""

    keys: Sequence[KeyToLease]


class KeyLeaseRunEnded(NamedTuple):
    """The run of a held key has ended."""

    key: bytes
    status: LeaseStatus  # `COMPLETED` or `FAILED`
    result: bytes


class KeyLeaseRunCancelled(NamedTuple):
    """The run of a held key will not be commanded: it never ran."""

    key: bytes


class AbandonKeyLease(NamedTuple):
    """Nobody waits for the answer of this key any more."""

    key: bytes


ClientInput = AcquireKeyLeases | KeyLeaseRunEnded | KeyLeaseRunCancelled | AbandonKeyLease

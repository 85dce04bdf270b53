"""The inputs that a key lease client takes in addition to those of finchcart/fleet/inputs.py."""

from collections.abc import Sequence
from typing import NamedTuple

from finchcart.key_leases.messages import LeaseStatus


class KeyToLease(NamedTuple):
    """A key whose lease is requested."""

    key: bytes
    payload_digest: int
    duration_us: int


class AcquireKeyLeases(NamedTuple):
    """Acquire the leases of these keys."""

    keys: Sequence[KeyToLease]


class KeyLeaseRunEnded(NamedTuple):
    """The run of a key whose lease was granted has ended."""

    key: bytes
    status: LeaseStatus  # `COMPLETED` or `FAILED`
    result: bytes


class KeyLeaseRunCancelled(NamedTuple):
    """The run of a key whose lease was granted will not be commanded."""

    key: bytes


class AbandonKeyLease(NamedTuple):
    """The core no longer needs an answer to its request for the lease of this key."""

    key: bytes


ClientInput = AcquireKeyLeases | KeyLeaseRunEnded | KeyLeaseRunCancelled | AbandonKeyLease

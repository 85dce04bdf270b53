"""Operators' overrides: values set by a person, which replace the fleet's decisions for a limited time.

Owns the newest override of each subject and the time at which it ends. This module must never send gossip:
publisher.py does.
"""

import msgspec

from finchcart.consensus.messages import OperatorOverride

OVERRIDES_PER_ENTRY = 3  # the most that are published in one gossip entry


class Override:
    """An override, the time at which it ends on this node's boot clock, and the node that published it."""

    __slots__ = ("ends_at", "message", "origin")

    def __init__(self, message: OperatorOverride, ends_at: int, origin: str) -> None:
        self.message = message
        self.ends_at = ends_at
        self.origin = origin

    def message_at(self, now: int) -> OperatorOverride:
        """Return the message with the time that remains at `now`."""
        return msgspec.structs.replace(self.message, remaining_us=max(0, self.ends_at - now))


class OverrideTable:
    """The overrides by subject, at most `max_overrides`; when full, the one that ends first is dropped."""

    def __init__(self, max_overrides: int) -> None:
        self.max_overrides = max_overrides
        self.by_subject: dict[int, Override] = {}
        self._rotation = 0  # count of overrides returned by `next_in_rotation`

    def __len__(self) -> int:
        return len(self.by_subject)

    def get(self, subject: int) -> Override | None:
        """Return the override of a subject, also if it is revoked."""
        return self.by_subject.get(subject)

    def active_value(self, subject: int) -> int:
        """Return the value of a subject's override, or 0 if there is none or it is revoked."""
        override = self.by_subject.get(subject)
        return override.message.value if override else 0

    def receive(self, now: int, message: OperatorOverride, ends_at: int, origin: str) -> bool:
        """Store an override if it is newer than the stored one of its subject.

        Precedence alone decides, so both sides of a network partition agree once it heals.

        Arguments:
            now: boot clock, microseconds.
            message: the override as it was gossiped.
            ends_at: boot clock, microseconds.
            origin: the name of the node that published it.

        Returns:
            Whether it was stored.
        """
        held = self.by_subject.get(message.subject)
        if ends_at <= now or (held is not None and message.precedence < held.message.precedence):
            return False
        if held is not None and message.precedence == held.message.precedence:
            held.ends_at = max(held.ends_at, ends_at)
            return False
        self.by_subject.pop(message.subject, None)
        if len(self.by_subject) >= self.max_overrides:
            del self.by_subject[min(self.by_subject, key=lambda subject: self.by_subject[subject].ends_at)]
        self.by_subject[message.subject] = Override(message, ends_at, origin)
        return True

    def expire(self, now: int) -> None:
        """Drop the overrides that have ended."""
        for subject in [key for key, override in self.by_subject.items() if override.ends_at <= now]:
            del self.by_subject[subject]

    def newest(self) -> list[Override]:
        """Return the newest overrides, as many as fit into one gossip entry."""
        return list(self.by_subject.values())[-OVERRIDES_PER_ENTRY:]

    def next_in_rotation(self) -> list[Override]:
        """Return the overrides for the next gossip entry, chosen round-robin."""
        overrides = list(self.by_subject.values())
        count = min(OVERRIDES_PER_ENTRY, len(overrides))
        chosen = [overrides[(self._rotation + offset) % len(overrides)] for offset in range(count)]
        self._rotation += count
        return chosen

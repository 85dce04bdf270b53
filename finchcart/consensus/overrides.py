"""Operators' overrides: decisions of a person, which take precedence over those of the fleet for a time.

Owns the newest override of each subject, and when it ends. It must never gossip by itself: publisher.py does.
"""

import msgspec

from finchcart.consensus.messages import OperatorOverride

OVERRIDES_AT_ONCE = 3  # in one gossip entry


class Override:
    """An override, when it ends here, and the name of the node that it came from."""

    __slots__ = ("ends_at", "message", "origin")

    def __init__(self, message: OperatorOverride, ends_at: int, origin: str) -> None:
        self.message = message
        self.ends_at = ends_at
        self.origin = origin

    def as_sent(self, now: int) -> OperatorOverride:
        """Return the message with the time that is left at `now`."""
        return msgspec.structs.replace(self.message, remaining_us=max(0, self.ends_at - now))


class OverrideTable:
    """Bounded by `max_overrides`; the one that ends first goes when full."""

    def __init__(self, max_overrides: int) -> None:
        self.max_overrides = max_overrides
        self.by_subject: dict[int, Override] = {}
        self._gossiped = 0  # turns so far, of those gossiped in turn

    def __len__(self) -> int:
        return len(self.by_subject)

    def get(self, subject: int) -> Override | None:
        """Return the override of a subject, a revoked one too."""
        return self.by_subject.get(subject)

    def active_value(self, subject: int) -> int:
        """Return the value of a subject's override; 0 where there is none or it is revoked."""
        override = self.by_subject.get(subject)
        return override.message.value if override else 0

    def receive(self, now: int, message: OperatorOverride, ends_at: int, origin: str) -> bool:
        """Take an override where it is newer than what is held, whichever side of a partition issued it.

        Arguments:
            now: boot clock, microseconds.
            message: as it was gossiped.
            ends_at: boot clock, microseconds.
            origin: the name of the node that it came from.

        Returns:
            Whether it was taken.
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
        """Take out what has ended."""
        for subject in [one for one, override in self.by_subject.items() if override.ends_at <= now]:
            del self.by_subject[subject]

    def newest(self) -> list[Override]:
        """Return the newest, as many as go with one gossip entry."""
        return list(self.by_subject.values())[-OVERRIDES_AT_ONCE:]

    def next_in_turn(self) -> list[Override]:
        """Return those that are gossiped next, all in turn."""
        overrides = list(self.by_subject.values())
        count = min(OVERRIDES_AT_ONCE, len(overrides))
        chosen = [overrides[(self._gossiped + offset) % len(overrides)] for offset in range(count)]
        self._gossiped += count
        return chosen

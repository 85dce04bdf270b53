"""The verbs by which the decision module acts; a host implements them.

Owns the protocol alone. Times are whole microseconds on the host's one clock; an RPC is named by a small
index that the host assigns.
"""

from typing import Protocol

from finchcart.decisions.rejection_reason import RejectionReason


class Port(Protocol):
    """What the decision module can do. `index` names an RPC. Calls take effect in the order made."""

    def run(self, index: int) -> None:
        """Start a queued RPC, or resume a paused one."""

    def stop(self, index: int) -> None:
        """Stop work on a core; this is not an answer.

        What was done is lost, or kept where `can_pause` is set and a response is pending. `run_ended` with
        `Outcome.STOPPED` reports that it took effect; it may not, during a stall or a call.
        """

    def reject(self, index: int, reason: RejectionReason, retry_after: int, do_not_retry: bool) -> None:
        """Send the final answer that it never ran here.

        `reason` is for the host's statistics alone. The caller may come back after `retry_after` microseconds
        (0: no advice); `do_not_retry` asks it not to try another node either.
        """

    def fail(self, index: int) -> None:
        """Send the final answer that it failed, without saying whether it ran."""

    def call(self, index: int, timeout: int) -> None:
        """Make the call that a run awaits; it is abandoned after `timeout` microseconds."""

    def degrade(self, index: int) -> None:
        """Leave out the call that a run awaits, for a degraded answer."""

    def answer_duplicate(self, index: int) -> None:
        """Answer a duplicate from the result of the first RPC of its key, once that is known."""

    def store_key(self, index: int, ttl: int) -> None:
        """Keep the RPC's idempotency key for `ttl` microseconds, so that duplicates are recognized."""

    def evict_key(self, index: int) -> None:
        """Remove the RPC's idempotency key."""

    def set_health(self, healthy: bool, cached: bool) -> None:
        """Set how health checks are answered from now on; `cached`: without doing work for each."""

    def set_shed_level(self, level: float) -> None:
        """Publish the shed level (0 to 1) with all answers."""

    def set_credit(self, credit: float) -> None:
        """Publish with all answers how many RPCs each caller may have open here."""

    def set_idle_timeout(self, timeout: int) -> None:
        """Close connections that are idle for `timeout` microseconds."""

    def set_timer(self, delay: int) -> None:
        """Ask for `NodeController.on_timer(now, gauges)` after `delay` microseconds."""

    def log(self, text: str) -> None:
        """Write one line for the operators."""

    def release(self, index: int) -> None:
        """Release an RPC: the decision module will not name this index again."""

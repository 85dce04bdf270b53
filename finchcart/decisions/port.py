"""Interface through which the decision module acts; each host implements it.

Times are whole microseconds on the host's clock. An RPC is identified by a small index that the host assigns.
"""

from typing import Protocol

from finchcart.decisions.rejection_reason import RejectionReason


class Port(Protocol):
    """Commands of the decision module to its host.

    `index` identifies an RPC. The host must execute the commands in the order of the calls.
    """

    def run(self, index: int) -> None:
        """Start a queued RPC, or resume a paused one."""

    def stop(self, index: int) -> None:
        """Stop a run that is on a core, without sending a response.

        The work done so far is discarded, unless `can_pause` is set and a response is pending: then it is
        kept. The host confirms the stop by `run_ended` with `Outcome.STOPPED`. A stop during a stall or a
        call may have no effect and is then not confirmed.
        """

    def reject(self, index: int, reason: RejectionReason, retry_after: int, do_not_retry: bool) -> None:
        """Send the final response that the RPC was rejected and never ran on this node.

        The host uses `reason` for its statistics only. The response advises the caller to retry on this node
        after `retry_after` microseconds at the earliest (0: no advice); `do_not_retry` asks the caller not
        to retry on another node either.
        """

    def fail(self, index: int) -> None:
        """Send the final response that the RPC failed, without stating whether it ran."""

    def call(self, index: int, timeout: int) -> None:
        """Make the call that a run awaits, and abandon it after `timeout` microseconds."""

    def degrade(self, index: int) -> None:
        """Resume a run without the call that it awaits, for a degraded response."""

    def answer_duplicate(self, index: int) -> None:
        """Respond to a duplicate with the result of the first RPC with its key, as soon as that is known."""

    def store_key(self, index: int, ttl: int) -> None:
        """Store the RPC's idempotency key for `ttl` microseconds, so that duplicates are recognized."""

    def evict_key(self, index: int) -> None:
        """Remove the RPC's idempotency key."""

    def set_health(self, healthy: bool, cached: bool) -> None:
        """Set the response to health checks; `cached`: respond without doing any work for each check."""

    def set_shed_level(self, level: float) -> None:
        """Publish the shed level (0 to 1) with all responses."""

    def set_credit(self, credit: float) -> None:
        """Publish with all responses how many RPCs each caller may have open on this node."""

    def set_idle_timeout(self, timeout: int) -> None:
        """Close connections that are idle for `timeout` microseconds."""

    def set_timer(self, delay: int) -> None:
        """Have the host call `NodeController.on_timer(now, gauges)` after `delay` microseconds."""

    def log(self, text: str) -> None:
        """Write one line to the operators' log."""

    def release(self, index: int) -> None:
        """Release the index of an RPC: the decision module does not use this index again."""

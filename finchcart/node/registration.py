"""The node's record at the registry.

Owns the health that was reported last and the timer of the next report. It must never decide whether the node
is healthy.
"""

from finchcart.limits import Limits
from finchcart.node.addresses import Address
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.effects import SendReport
from finchcart.protocol import registry_codec


class Registration:
    """Reports the node to the registry, again and again. Bounds: one timer that counts."""

    def __init__(self, effect_buffer: EffectBuffer, limits: Limits, name: str, address: Address) -> None:
        self.effect_buffer = effect_buffer
        self.address = address
        self.healthy = True
        self._interval_us = limits.registration_interval_us
        self._name = name
        self._reports_sent = 0

    def set_health(self, healthy: bool) -> None:
        """Report a change of health immediately."""
        if healthy != self.healthy:
            self.healthy = healthy
            self.report()

    def report(self) -> None:
        """Report to the registry, now and after each interval."""
        data = registry_codec.encode_registration(self._name, self.healthy)
        self.effect_buffer.emit(SendReport(self.address, data))
        self._reports_sent += 1
        self.effect_buffer.schedule_after(self._interval_us, self._report_again, self._reports_sent)

    def change_address(self, address: Address) -> None:
        """Report to another address."""
        self.address = address
        self.report()

    def _report_again(self, report_number: int) -> None:
        if report_number == self._reports_sent:  # else another report was sent meanwhile
            self.report()

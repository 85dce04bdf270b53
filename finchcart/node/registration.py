"""Registers the node at the registry, with its health, and repeats the registration periodically.

`Registration` owns the last reported health and the timer of the next report. It must never decide whether
the node is healthy.
"""

from finchcart.limits import Limits
from finchcart.node.addresses import Address
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.effects import SendReport
from finchcart.protocol import registry_codec


class Registration:
    """Sends registration reports. The timers of all reports but the last one have no effect."""

    def __init__(self, effect_buffer: EffectBuffer, limits: Limits, name: str, address: Address) -> None:
        self.effect_buffer = effect_buffer
        self.address = address
        self.healthy = True
        self._interval_us = limits.registration_interval_us
        self._name = name
        self._reports_sent = 0

    def set_health(self, healthy: bool) -> None:
        """Set the health; report a change immediately."""
        if healthy != self.healthy:
            self.healthy = healthy
            self.report()

    def report(self) -> None:
        """Send a report now, and schedule the next one after the registration interval."""
        data = registry_codec.encode_registration(self._name, self.healthy)
        self.effect_buffer.emit(SendReport(self.address, data))
        self._reports_sent += 1
        self.effect_buffer.schedule_after(self._interval_us, self._report_again, self._reports_sent)

    def change_address(self, address: Address) -> None:
        """Change the registry's address, and send a report to the new one immediately."""
        self.address = address
        self.report()

    def _report_again(self, report_number: int) -> None:
        if report_number == self._reports_sent:  # otherwise a later report has set its own timer
            self.report()

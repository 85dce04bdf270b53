"""The registry duty, the drain and the end.

Owns when the registry is told of the node, the notice to leave and the moment at which the process may end.
It must never end a node that owes an answer, nor listen again once it stopped.
"""

from finchcart.net import line_protocol
from finchcart.node.effects import End, SendReport, StopListening


class Duty:
    """`busy()`: whether anything is open or owed."""

    def __init__(self, turn, limits, name, place, grace, busy):
        self.turn, self.limits, self.name, self.place, self.grace = turn, limits, name, place, grace
        self.busy = busy
        self.good, self.reports = True, 0
        self.drained, self.kill_at = None, None  # when the notice to leave came, and when the kill comes
        self.grace_end, self.quiet_from, self.unlistened = None, None, False

    def health(self, good):
        if good != self.good:
            self.good = good
            self.report()

    def report(self):
        turn = self.turn
        turn.emit(SendReport(self.place, line_protocol.registration_report(self.name, self.good)))
        self.reports += 1
        turn.at(turn.now + self.limits.registration_interval, self.report_again, self.reports)

    def report_again(self, number):
        if number == self.reports:
            self.report()

    def drain(self, at):
        """The notice to leave came then; False where it came before."""
        if self.drained is not None:
            return False
        self.drained, self.grace_end, self.kill_at = at, at + self.grace, at + self.limits.stop_timeout
        self.turn.at(self.kill_at, self.turn.emit, End())
        return True

    def look(self):
        """The node may end once its grace is over and nothing is open, nor has been for a while."""
        turn = self.turn
        if self.drained is None or turn.now < self.grace_end:
            return
        if self.busy():
            self.quiet_from = None
        elif self.quiet_from is None:
            self.quiet_from = turn.now
        elif turn.now - self.quiet_from >= self.limits.quiet_period:
            # Guards against an RPC on a connection that is being accepted: first no new ones, then the end.
            turn.emit(End() if self.unlistened else StopListening())
            self.unlistened, self.quiet_from = (
                True,
                turn.now - self.limits.quiet_period + self.limits.final_check_delay,
            )

    def move(self, place):
        self.place = place
        self.report()

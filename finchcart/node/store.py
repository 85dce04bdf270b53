"""Calls to the store that all nodes share.

Owns the links to the store, each with one call at a time, and the time limit of each call. Bounded by the
calls that the module allows at once. It must never write a call where a late or copied reply to another call
of the same RPC could pass for its own, nor repeat one: the module decides that.
"""

from finchcart.interface import Outcome
from finchcart.net import line_protocol
from finchcart.node.effects import Drop, Read, Send, SendBefore


class Link:
    """One link to the store, which carries one call at a time: a spoilt reply costs no other call."""

    __slots__ = ("number", "rpc", "used", "retired", "idle_from", "leased")

    def __init__(self, number):
        self.number, self.rpc = number, None  # the RPC whose call it carries
        self.leased = False  # that call is beyond the floor of the fleet's limit
        self.used, self.retired, self.idle_from = set(), False, None  # used: all names it carried calls for


class Store:
    """`call_ended(rpc, outcome, body, spent)` hears of each call that was not dropped."""

    def __init__(self, turn, limits, place, call_ended, linger=0):
        self.linger = linger  # a call that is given up counts for so long as still in hand
        self.turn, self.limits, self.place, self.call_ended = turn, limits, place, call_ended
        self.links, self.idle = {}, []  # idle ones: the one used last is taken first
        self.given_up = []  # (until, leased): calls that the store may not know yet to be given up

    def in_hand(self, leased):
        """Calls that the store may have in hand, beyond the floor of the fleet's limit or not."""
        now = self.turn.now
        self.given_up = [call for call in self.given_up if call[0] > now]
        return sum(link.rpc is not None and link.leased is leased for link in self.links.values()) + sum(
            call[1] is leased for call in self.given_up
        )

    def call(self, rpc, limit, body, leased=False, by=None):
        """`by`: on the boot clock; written until then or not at all, see `Meter`."""
        turn = self.turn
        # Guards against a copy of a reply that passes for this call's: not on a link where one may come.
        link = next((each for each in reversed(self.idle) if rpc.name not in each.used), None)
        if link:
            self.idle.remove(link)
        else:
            link = Link(turn.connect("store", self.place, self))
            self.links[link.number] = link
            turn.emit(Read(link.number))
            turn.at(turn.now + self.limits.store_idle_timeout, self.look_at_idle, link)
        link.rpc, link.leased = rpc, leased
        link.used.add(rpc.name)
        rpc.call_link, rpc.call_from, rpc.calls = link.number, turn.now, rpc.calls + 1
        data = line_protocol.store_call(rpc.name, limit, body)
        if by is None:
            turn.emit(Send(link.number, data))
        else:
            turn.emit(SendBefore(link.number, data, by))
        turn.at(turn.now + limit, self.due, rpc, rpc.calls)

    def drop(self, rpc):
        """Gives up a call in the store's hands, and the link with it: a late reply may still come there."""
        link = self.links.get(rpc.call_link)
        rpc.call_link = None
        if link:
            self.leave(link)

    def due(self, rpc, number):
        if rpc.call_link is not None and rpc.calls == number:
            self.drop(rpc)
            self.call_ended(rpc, Outcome.TIMEOUT, b"", self.turn.now - rpc.call_from)

    def move(self, place):
        """Calls under way end at the old place; new ones go to the new."""
        self.place = place
        for link in list(self.links.values()):
            self.retire(link)

    # ---- what comes on the links

    def got(self, number, message):
        link = self.links.get(number)
        if link is None:
            return
        _, name, outcome, body = message
        rpc = link.rpc
        if rpc is None or name != rpc.name:
            # Guards against a copy, or another's reply, that passes for a call's: none is made here again.
            self.retire(link)
            return
        rpc.call_link = link.rpc = None
        if link.retired or len(link.used) >= self.limits.calls_per_store_connection:
            self.leave(link)
        else:
            link.idle_from = self.turn.now
            self.idle.append(link)
        self.call_ended(rpc, outcome, body, self.turn.now - rpc.call_from)

    def batch_over(self, number):
        if number in self.links:
            self.turn.emit(Read(number))

    def refused(self, number, why):
        self.lost(number, Outcome.UNREACHABLE, why)

    def ended(self, number, why):
        self.lost(number, Outcome.CONNECTION_LOST, why)

    def lost(self, number, outcome, why):
        link = self.links.get(number)
        if link is None:
            return
        self.leave(link)
        if why:
            self.turn.fault("store", f"{outcome.value}, {len(self.links)} links left ({why})")
        rpc = link.rpc
        if rpc:
            rpc.call_link = None
            self.call_ended(rpc, outcome, b"", self.turn.now - rpc.call_from)

    def behind(self, number):
        """The call's own time limit bounds it."""

    caught_up = closed = behind

    # ---- links

    def retire(self, link):
        """It takes no further call, and is left once it has none."""
        link.retired = True
        if link.rpc is None:
            self.leave(link)

    def leave(self, link):
        if link.rpc is not None and self.linger:
            self.given_up.append((self.turn.now + self.linger, link.leased))
        del self.links[link.number]
        if link in self.idle:
            self.idle.remove(link)
        self.turn.emit(Drop(link.number))

    def look_at_idle(self, link):
        """A link that idles is closed long before the store does it, so that no call crosses its close."""
        if link.number in self.links:
            due = (self.turn.now if link.rpc else link.idle_from) + self.limits.store_idle_timeout
            if self.turn.now >= due:
                self.leave(link)
            else:
                self.turn.at(due, self.look_at_idle, link)

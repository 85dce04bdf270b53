"""The link to the worker pool: its cursor, what it may not have read, and its gauges.

Owns the one link, the number of the last notice, commands that no notice or poll has confirmed yet, and polls
under way. Bounded by the RPCs that run. It must never write a command again that could do harm if the first
copy was read, nor take a notice twice.
"""

from finchcart.interface import Outcome
from finchcart.net import line_protocol
from finchcart.node.effects import Drop, Log, Read, Send


class Pool:
    """`host` is the core: `pool_up(cold, age, first)`, `running(name)`, `run_ended(rpc, outcome, spent,
    result)`, `run_at_call(rpc, cursor, body)`, `pool_anew(cold)` and `woken(name, gauges)`."""

    def __init__(self, turn, limits, place, gauges, host):
        self.turn, self.limits, self.place, self.host = turn, limits, place, host
        self.gauges = gauges
        self.link, self.ready, self.cursor, self.ticket = None, False, 0, 0
        self.is_behind, self.settle, self.leaving, self.wakes = False, None, None, {}
        self.begun = None  # when the worker pool started, as it told
        self.unreadable = None  # the last notice before one that could not be read
        # What the pool may not have read, by index: (rpc, ticket, line, what does no harm if it did, whether
        # it was written).
        self.unconfirmed = {}
        self.acts = {
            "up": self.on_up,
            "run_ended": self.on_run_ended,
            "at_call": self.on_at_call,
            "gauges": self.on_gauges,
            "undone": self.on_undone,
            "remark": self.on_remark,
            "other": self.on_other,
        }

    def reach(self):
        if self.link is not None:
            return
        self.link = self.turn.connect("pool", self.place, self)
        self.turn.emit(Read(self.link))
        self.say(line_protocol.subscribe(self.cursor))

    def say(self, data):
        """Written where there is a link; what is lost with one is settled after the next is bound."""
        if self.link is not None:
            self.turn.emit(Send(self.link, data))

    def command(self, rpc, data, again):
        """`again`: what may be written where `data` may have been read; None where nothing may."""
        self.unconfirmed[rpc.index] = rpc, self.ticket, data, again, self.ready
        if self.ready:
            self.say(data)

    def run(self, rpc, repeatable):
        line = line_protocol.start_run(rpc.name, rpc.method, rpc.body)
        self.command(rpc, line, line if repeatable else None)

    def reply(self, rpc, cursor, body, skippable):
        """A reply that may have been lost can't be written again, but its call can be left out."""
        self.command(
            rpc,
            line_protocol.answer_call(rpc.name, body),
            line_protocol.skip_call(rpc.name, cursor) if skippable else None,
        )

    def skip(self, rpc, cursor):
        line = line_protocol.skip_call(rpc.name, cursor)
        self.command(rpc, line, line)

    def confirmed(self, rpc):
        self.unconfirmed.pop(rpc.index, None)

    def poll(self):
        self.ticket += 1
        self.say(line_protocol.request_gauges(str(self.ticket)))
        return str(self.ticket)

    # ---- the link's life

    def lost(self, why):
        again = 0 if self.ready else self.limits.pool_retry_interval
        self.turn.fault("worker pool", f"link lost ({why or 'closed'}), cursor {self.cursor}")
        self.leave()
        self.turn.at(self.turn.now + again, self.reach)

    def leave(self):
        link, self.link = self.link, None
        self.ready, self.settle, self.leaving, self.is_behind = False, None, None, False
        self.turn.emit(Drop(link))

    def move(self, place):
        """Guards against commands lost with the old link: it is left once the pool has read them all."""
        self.place = place
        if self.link is None:
            return
        if self.ready:
            self.ready = False
            self.leaving = self.poll()
            self.turn.at(self.turn.now + self.limits.pool_move_timeout, self.moved, self.link)
        else:
            self.moved(self.link)

    def moved(self, link):
        if self.link == link and not self.ready:
            self.leave()
            self.reach()

    # ---- what comes on the link

    def got(self, link, message):
        if link == self.link:
            self.acts[message[0]](*message[1:])

    def batch_over(self, link):
        if link == self.link:
            self.turn.emit(Read(link))

    def refused(self, link, why):
        if link == self.link:
            self.lost(why)

    def ended(self, link, why):
        if link != self.link:
            return
        if why and self.ready:
            # Guards against a notice that can't be read and comes again right after each bind: it may have
            # been spoilt on its way once; then it is passed over, and its run is answered in time even so.
            if self.unreadable == self.cursor and self.settle is not None:
                self.cursor += 1
            self.unreadable = self.cursor
        self.lost(why)

    def closed(self, link):
        """It was left before."""

    def behind(self, link):
        if link == self.link:
            self.is_behind = True

    def caught_up(self, link):
        if link == self.link:
            self.is_behind = False

    def on_up(self, cold, age):
        turn = self.turn
        turn.emit(Log(f"worker pool: up, {'cold' if cold else 'warm'}, for {age // 1000} ms"))
        first, self.ready, begun = self.begun is None, True, turn.now - age
        if not first:
            # Guards against commands lost with the old link: they are seen to once all notices since then
            # are read, so that nothing that ended is started again.
            self.settle = self.poll()
            if begun > self.begun + self.limits.pool_start_tolerance:
                self.cursor = 0
                self.host.pool_anew(cold)
        self.begun = begun
        if first:
            self.host.pool_up(cold)

    def new_notice(self, cursor):
        """Each notice is taken once."""
        new, self.cursor = cursor > self.cursor, max(cursor, self.cursor)
        return new

    def on_run_ended(self, cursor, name, outcome, spent, result):
        rpc = self.host.running(name)
        if self.new_notice(cursor) and rpc:
            self.host.run_ended(rpc, outcome, spent, result)

    def on_at_call(self, cursor, name, body):
        rpc = self.host.running(name)
        if self.new_notice(cursor) and rpc:
            self.confirmed(rpc)
            self.host.run_at_call(rpc, cursor, body)

    def on_undone(self, was_run, name):
        rpc = self.host.running(name)
        if rpc:
            self.turn.fault("worker pool", f"{'run' if was_run else 'command'} not carried out")
            self.host.run_ended(rpc, Outcome.NOT_STARTED if was_run else Outcome.STOPPED, 0, b"")

    def on_remark(self, cursor):
        self.new_notice(cursor)

    def on_other(self):
        """An event of a later protocol."""

    def on_gauges(self, ticket, figures):
        if ticket == self.settle:
            self.settle = None
            self.settle_commands(int(ticket))
        elif ticket == self.leaving or ticket in self.wakes:
            # The pool read the poll, so what was written before it too.
            self.unconfirmed = {
                index: line for index, line in self.unconfirmed.items() if line[1] >= int(ticket)
            }
            if ticket == self.leaving:
                self.moved(self.link)
            else:
                self.wake(ticket, dict(zip(self.gauges, figures)))

    def settle_commands(self, ticket):
        """All notices of the last link are read: what was neither confirmed nor written since is settled."""
        for index in list(self.unconfirmed):
            rpc, asked, data, again, written = self.unconfirmed.get(index, (None, ticket, b"", None, False))
            if asked < ticket:  # neither ended nor sent another since, by the end of one before it
                # Guards against a second effect, and a reply that meets a later call: what the pool did
                # read may have gone on since, so only what does no harm twice is written again.
                line = again if written else data
                if line is not None:
                    self.command(rpc, line, again)
                else:
                    self.host.run_ended(rpc, Outcome.STOPPED, 0, b"")

    # ---- timers of the module, with gauges

    def ring(self, name):
        """A timer is due: the gauges are asked for, and waited for a little."""
        if self.ready and not self.is_behind:
            ticket = self.poll()
            self.wakes[ticket] = name
            self.turn.at(self.turn.now + self.limits.gauges_timeout, self.wake, ticket, {})
        else:
            self.host.woken(name, {})

    def wake(self, ticket, gauges):
        name = self.wakes.pop(ticket, None)
        if name is not None:
            self.host.woken(name, gauges)

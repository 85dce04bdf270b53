"""One member: spreads rows, measures its links, hands out changes of its view.

Owns the rows of all members, the links to those it watches, and its own row. `reduce(now, what)` takes one
input and returns effects; it must never do I/O, read a clock or take a lock. Whether a member is in is
decided by view.py; the time a verdict must stand before it counts is kept here.

Inputs: `("tick",)` (once a tick), `("got", address, datagram)`, `("leave",)` (the notice to drain),
`("end",)`,
`("figures", Figures)`, `("rider", ...)` (handed on to what rides on the members' messages, see
quota/loose.py). Effects: `("send", (host, port), datagram)`, `("change", name, state, incarnation)`,
`("isolated", bool, why)`, `("log", text, fields)`. A driver logs changes too. `now` is the boot clock in
whole microseconds, which counts suspension: a gap between two inputs is a pause of this process, and is an
input by itself.

Bounds: rows `figures.members`, tombstones and contests as many, links as many as rows, news `figures.news`,
sent datagrams `figures.datagrams` a period, 32 send times a link, one note a topic and row. All age out with
`figures.remember`.
"""

from collections import OrderedDict, deque

import msgspec

from finchcart.membership import messages
from finchcart.membership.messages import ALIVE, LEAVING, LEFT, Beat, Page, Row, Rows, Sync, Taken, Unfit
from finchcart.membership.view import judge, watched

STATES = "alive", "suspect", "failed", "leaving", "left"
ROOM = messages.MOST - 120  # for rows in a datagram, besides what is always there
NOTES, PASSES = 12, 2  # notes of others in a beat; times that each is passed on where all hear all
CONTESTS = 3  # of an incarnation by another process of the own name, before the younger stands


class Peer:
    """A link to another process: kept by session, so that a successor starts with nothing."""

    def __init__(self, now):
        self.began = now
        self.session, self.seq, self.sent = 0, 0, deque(maxlen=32)  # (seq, when)
        self.heard_seq, self.heard_at = 0, None
        self.confirmed = None  # two-way contact is proven for what was sent then
        self.down, self.due = False, now

    def fresh(self):
        """Since when contact is proven, or was looked for."""
        return self.began if self.confirmed is None else max(self.began, self.confirmed)


class Heard:
    """A note, and when it was written at the earliest (None: not known)."""

    def __init__(self, note, born):
        self.note, self.born = note, born


class Known:
    """What is held of one member: its row and the state it has here."""

    def __init__(self, row, now):
        self.row, self.state, self.since, self.turning = row, "alive", now, None  # since when it differs
        self.hash, self.failed_age = messages.digest_of(row), None
        self.news = 0  # times to pass it on yet

    @property
    def shown(self):
        """Whether the digest of all rows has it."""
        return self.state not in ("failed", "left")


class Member:
    """`wall`: the wall clock at start, milliseconds; `random`: of this member alone."""

    def __init__(self, name, fleet, advertise, seeds, figures, random, wall, now):
        self.name, self.fleet, self.me, self.figures = name, fleet, messages.id_of(name), figures
        self.seeds = [place for place in seeds if place != advertise]
        self.random, self.wall, self.start = random, wall, now
        self.row = Row(name, advertise, random.getrandbits(64), wall, wall, 0, ALIVE, [])
        self.known = {self.me: Known(self.row, now)}
        self.peers, self.news = {}, OrderedDict()
        self.tombs = OrderedDict()  # id -> age of the last row of a forgotten member
        self.graph, self.graph_of, self.out = {self.me: frozenset()}, None, frozenset()
        self.dirty, self.inside = True, {self.me}
        # Of the rows of those in the fleet. Failed and left ones are no news for newcomers, who would pass
        # them on for ever: their rows are told only to those who hold an older one.
        self.digest = self.known[self.me].hash
        self.last, self.last_tick, self.late = now, now, 0
        self.quiet_until = 0  # accuses nobody before
        self.waking = False
        self.isolated, self.alone_since, self.touch_since = bool(self.seeds), now, None
        self.yielded, self.contests = False, 0
        self.missed, self.got, self.loss = 0.0, 0.0, 0.0
        self.sent_now, self.synced, self.paged = 0, 0, 0
        self.counts = {}
        self.effects = []
        self.ended = False
        self.riders, self.own_notes = [], {}  # own_notes: topic -> its own
        # (id, topic) -> the newest note; times to pass it on yet
        self.notes, self.to_pass = {}, OrderedDict()

    # ---- in and out

    @property
    def tick(self):
        return self.figures.tick

    def reduce(self, now, what):
        self.effects = effects = []
        if now - self.last > self.figures.gap:
            self.on_gap(now, now - self.last)
        self.last = now = max(now, self.last)
        kind = what[0]
        if kind == "got":
            self.on_got(now, what[1], what[2])
        elif kind == "tick":
            self.on_tick(now)
        elif kind == "leave":
            self.on_duty(now, LEAVING)
        elif kind == "end":
            self.on_end(now)
        elif kind == "figures":
            self.figures, self.graph_of = what[1], None
        elif kind == "rider":
            for rider in self.riders:
                self.effects += rider.reduce(now, what[1:])
        return effects

    def count(self, reason, by=1):
        self.counts[reason] = self.counts.get(reason, 0) + by

    def send(self, place, said):
        """False where this period's datagrams are used up."""
        if self.sent_now >= self.figures.datagrams:
            self.count("over the bound of datagrams")
            return False
        self.sent_now += 1
        data = messages.pack(self.fleet, said)
        if len(data) > messages.MOST:
            self.count("too long to send")
            return False
        self.count("sent")
        self.count("bytes sent", len(data))
        self.effects.append(("send", place, data))
        return True

    def log(self, text, **fields):
        self.effects.append(("log", text, fields))

    # ---- the own row

    def write_row(self, **changed):
        """The own row says something new."""
        old = self.row
        self.row = msgspec.structs.replace(old, version=old.version + 1, **changed)
        self.keep(self.me, self.row)

    def raise_over(self, incarnation):
        self.write_row(incarnation=max(self.row.incarnation, incarnation) + 1)

    def on_duty(self, now, duty):
        if duty > self.row.duty:
            self.write_row(duty=duty)
            self.set_state(now, self.known[self.me], "leaving" if duty == LEAVING else "left")

    def on_end(self, now):
        """Told to all watched at once: what is lost is left to their failure detection."""
        self.on_duty(now, LEFT)
        for one, peer in self.peers.items():
            if one in self.known and self.known[one].state in ("alive", "leaving", "suspect"):
                self.beat(now, one, peer)
        self.ended = True

    def on_gap(self, now, gap):
        """This process was stopped. Others may have given it up, and rightly; what it last heard of them is
        of before: it tells that it woke, waits for contact anew and accuses nobody until there was time."""
        figures = self.figures
        self.count("gaps")
        self.quiet_until = now + figures.link(self.loss) + figures.period
        self.waking, self.alone_since, self.touch_since = True, now, None
        self.late = 0
        for peer in self.peers.values():
            peer.began, peer.confirmed, peer.down, peer.due = now, None, False, now
            peer.sent.clear()
        for known in self.known.values():
            known.turning = None
        self.write_row(incarnation=self.row.incarnation + 1, down=[])
        self.set_isolated(True, "woke")
        self.log("woke from a pause", gap_ms=gap // 1000, quiet_ms=(self.quiet_until - now) // 1000)
        self.last_tick = now

    # ---- rows

    def keep(self, one, row):
        """Takes a row for the newest of its member, and passes it on."""
        known = self.known.get(one)
        if known is None:
            known = self.known[one] = Known(row, self.last)
            self.digest ^= known.hash
            self.effects.append(("change", row.name, "alive", row.incarnation))
            self.graph_of = None
        else:
            if known.row.duty != row.duty:
                self.graph_of = None
            before, known.row, known.hash = known.hash, row, messages.digest_of(row)
            if known.shown:
                self.digest ^= before ^ known.hash
        known.news = self.figures.known(len(self.known))
        self.news[one] = True
        self.news.move_to_end(one, last=False)
        while len(self.news) > self.figures.news:
            self.known[self.news.popitem()[0]].news = 0  # the comparing of digests brings it
        self.dirty = True

    def learn(self, now, row, direct=False):
        """A row that came from others; `direct`: from the one of whom it tells, which so is no old news.
        Returns whether it was news, or None where it can't be used."""
        figures = self.figures
        one = messages.id_of(row.name)
        if one == self.me:
            return self.learn_of_self(now, row)
        try:
            messages.place_of(row.address)
        except Unfit as error:
            return self.count(str(error))
        if row.incarnation > self.wall + (now - self.start) // 1000 + figures.ahead:
            # Guards against an incarnation that no process could ever raise its own over.
            return self.count("impossible incarnation")
        known = self.known.get(one)
        if known is None:
            tomb = self.tombs.get(one)
            if tomb is not None and row.age <= tomb and not direct:
                return self.count("of a forgotten member")
            if len(self.known) >= figures.members and not self.make_room():
                return self.count("no room")
        elif row.age <= known.row.age:
            return False
        if known is None and row.duty == LEFT:
            return False  # it left before it was known: nothing to remember
        before = known and known.row
        self.keep(one, row)
        if before is not None:
            if before.session != row.session:
                self.count("successors")
                self.effects.append(("change", row.name, known.state, row.incarnation))
        known = self.known[one]
        if row.duty == LEFT:
            self.set_state(now, known, "left")
        elif known.state == "left":
            self.set_state(now, known, "alive")
        elif known.state in ("alive", "leaving"):
            self.set_state(now, known, "leaving" if row.duty == LEAVING else "alive")
        return True

    def learn_of_self(self, now, row):
        """What others remember of this name. Of an earlier process, or of one whose clock was ahead: raised
        over. Of another living one: it raises over in its turn, which the dead don't, and after a few times
        the younger stands and the elder is silent under this name."""
        if row.session == self.row.session:
            if row.age > self.row.age:
                self.count("own row altered")
                self.raise_over(row.incarnation)
            return False
        if row.incarnation < self.row.incarnation:
            return False
        if row.incarnation > self.wall + (now - self.start) // 1000 + self.figures.ahead:
            return self.count("impossible incarnation")
        self.contests += 1
        self.count("contests")
        if self.contests >= CONTESTS and (row.began, row.session) > (self.row.began, self.row.session):
            self.give_way(row)
            return False
        if self.contests == CONTESTS:
            self.log("another process has this name, and is to yield", name=self.name, other=row.address)
        self.raise_over(row.incarnation)
        return False

    def give_way(self, row):
        if not self.yielded:
            self.yielded = True
            self.set_isolated(True, "another process has this name")
            self.log("yielded: a younger process has this name", yielded=True, other=row.address)

    def make_room(self):
        """The failed or left member that has been so longest goes."""
        gone = [(known.since, one) for one, known in self.known.items() if known.state in ("failed", "left")]
        if gone:
            self.forget(min(gone)[1])
        return bool(gone)

    def forget(self, one):
        known = self.known.pop(one)
        if known.shown:
            self.digest ^= known.hash
        self.news.pop(one, None)
        self.peers.pop(one, None)
        for key in [key for key in self.notes if key[0] == one]:
            self.notes.pop(key)
            self.to_pass.pop(key, None)
        # Guards against rows that others still pass on: a forgotten member would be alive once more.
        self.tombs[one] = known.row.age
        while len(self.tombs) > self.figures.members:
            self.tombs.popitem(last=False)
        self.graph_of, self.dirty = None, True

    # ---- messages

    def on_got(self, now, address, data):
        self.count("received")
        try:
            said = messages.unpack(self.fleet, data)
        except Unfit as error:
            return self.count(str(error))
        if isinstance(said, messages.Ask):
            return self.on_ask(now, address, said)
        if isinstance(said, messages.Told):
            return self.count("not asked for")
        if self.yielded:
            return
        if isinstance(said, Rows):
            for row in said.rows:
                self.learn(now, row)
            return
        one = messages.id_of(said.row.name)
        if isinstance(said, Taken):
            if one == self.me and said.row.session != self.row.session:
                if (said.row.began, said.row.session) > (self.row.began, self.row.session):
                    self.give_way(said.row)
                else:
                    self.learn_of_self(now, said.row)
            return
        if self.learn(now, said.row, direct=True) is None:
            return  # counted: what it says besides is not read either
        if one == self.me or one not in self.known:
            return
        known, peer = self.known[one], self.peers.get(one)
        if known.row.session != said.row.session:
            # Guards against one that slept while its name was started anew, and against one that was started
            # with its clock set back: neither would hear of the other row from anybody.
            lives = peer and peer.confirmed and now - peer.confirmed < self.figures.link(self.loss)
            self.send(messages.place_of(said.row.address), Taken(known.row) if lives else Rows([known.row]))
            return
        if isinstance(said, Beat):
            self.on_beat(now, one, said)
        elif isinstance(said, Sync):
            self.on_sync(said)
        else:
            self.on_page(said)

    def peer(self, now, one):
        if one not in self.peers:
            self.peers[one] = Peer(now)
        return self.peers[one]

    def on_beat(self, now, one, said):
        peer = self.peer(now, one)
        if peer.session != said.row.session:
            peer.session, peer.heard_seq, peer.heard_at, peer.confirmed = said.row.session, 0, None, None
            peer.began = now
            peer.sent.clear()
        if said.seq > peer.heard_seq:
            if peer.heard_at is not None and now - peer.heard_at < 8 * self.figures.period:
                self.missed += said.seq - peer.heard_seq - 1
                self.got += 1
            peer.heard_seq = said.seq
            if peer.heard_at is None or now - peer.heard_at > 2 * self.figures.period:
                peer.due = min(peer.due, now)  # it speaks again: answered with the next tick
            peer.heard_at = now
        way = None  # the longest that this beat can have been under way
        if said.echo_session == self.row.session:
            for seq, when in reversed(peer.sent):
                if seq <= said.echo:
                    way = now - when
                    if peer.confirmed is None or when > peer.confirmed:
                        peer.confirmed = when
                        self.dirty = self.dirty or self.known[one].state == "failed"
                    break
        for row in said.rows:
            self.learn(now, row)
        for note in said.notes:
            self.hear_note(now, note, way)
        if said.digest != self.digest and now - self.synced >= self.figures.period // 2:
            self.synced = now
            count = 1
            while count < 64 and count * 16 < len(self.known):
                count *= 2
            self.send(messages.place_of(said.row.address), Sync(self.row, self.buckets(count)[0]))

    def write_note(self, now, topic, values, data=b"", urgent=False):
        """What goes with each beat from now on; nothing new where it is the same. `urgent`: to all watched
        ones with this tick."""
        held = self.own_notes.get(topic)
        old = held and held.note
        if (
            old
            and old.values == values
            and old.data == data
            and old.incarnation == self.row.incarnation
            and not data
        ):
            return
        number = old.number + 1 if old else 0
        self.own_notes[topic] = Heard(
            messages.Note(self.me, topic, self.row.incarnation, number, 0, values, data), now
        )
        if urgent:
            for one in self.graph.get(self.me, ()):
                if one in self.peers and self.known[one].state != "failed":
                    self.peers[one].due = now

    def hear_note(self, now, note, way):
        """`way`: how long it can have been under way here, None where nothing tells: then its age is not
        known."""
        if note.who == self.me or note.who not in self.known:
            return
        key = note.who, note.topic
        held = self.notes.get(key)
        born = None if way is None else now - way - note.since
        if held is None or note.age > held.note.age:
            self.notes[key] = Heard(note, born)
            # Where all exchange beats all hear it at once; else so often that few are left out by chance.
            self.to_pass[key] = (
                PASSES if len(self.known) <= self.figures.watch + 1 else len(self.known).bit_length() + 1
            )
            self.to_pass.move_to_end(key)
        elif note.age == held.note.age and born is not None and (held.born is None or born > held.born):
            held.born = born  # both bounds hold: the younger is the better

    def take_notes(self, now, to, room):
        """The own notes, and some that are to be passed on, as many as there is room for."""
        told = lambda held: msgspec.structs.replace(held.note, since=max(0, now - held.born))
        notes = [told(held) for _, held in sorted(self.own_notes.items())]
        room -= len(messages.encoded(notes))
        for key in list(self.to_pass)[:NOTES]:
            held = self.notes[key]
            if key[0] == to or held.born is None:
                continue
            note = told(held)
            room -= len(messages.encoded(note))
            if room < 0:
                break
            notes.append(note)
            self.to_pass[key] -= 1
            self.to_pass.move_to_end(key)
            if self.to_pass[key] <= 0:
                del self.to_pass[key]
        return notes

    def buckets(self, count):
        """Digest and ids of each bucket, of those in the fleet."""
        digests, inside = [0] * count, [[] for _ in range(count)]
        for one, known in self.known.items():
            if known.shown:
                digests[one % count] ^= known.hash
                inside[one % count].append(one)
        return digests, inside

    def on_sync(self, said):
        """Pages of two buckets that differ, chosen by chance."""
        count = len(said.buckets)
        digests, inside = self.buckets(count)
        unlike = [n for n in range(count) if digests[n] != said.buckets[n]]
        for bucket in self.random.sample(unlike, min(2, len(unlike))):
            self.page(said.row, count, bucket, sorted(inside[bucket]), False)

    def page(self, to, count, bucket, ids, answer, low=0, high=2**64 - 1):
        most = 40
        if len(ids) > most:
            first = self.random.randrange(len(ids) - most + 1)
            low = ids[first - 1] + 1 if first else low
            high = ids[first + most] - 1 if first + most < len(ids) else high
            ids = ids[first : first + most]
        entries = [(one, *self.known[one].row.age[:2]) for one in ids]
        self.send(messages.place_of(to.address), Page(self.row, count, bucket, low, high, entries, answer))

    def on_page(self, said):
        """Sends what is newer here, and asks with a page of its own for what is newer there."""
        theirs = {one: (incarnation, version) for one, incarnation, version in said.entries}
        ids = sorted(
            one for one in self.known if one % said.buckets == said.bucket and said.low <= one <= said.high
        )
        gone = {one for one in ids if not self.known[one].shown}
        newer = [
            self.known[one].row
            for one in ids
            if (one not in theirs and one not in gone)
            or one in theirs
            and self.known[one].row.age[:2] > theirs[one]
        ]
        place = messages.place_of(said.row.address)
        for _ in range(4):
            part = messages.fill(newer, ROOM)
            if not part or not self.send(place, Rows(part)):
                break
            newer = newer[len(part) :]
        if not said.answer and any(
            one not in self.known
            and (one not in self.tombs or age > self.tombs[one][:2])
            or one in self.known
            and age > self.known[one].row.age[:2]
            for one, age in theirs.items()
        ):
            ids = [one for one in ids if one not in gone or one in theirs]
            self.page(said.row, said.buckets, said.bucket, ids, True, said.low, said.high)

    # ---- ticks

    def on_tick(self, now):
        figures = self.figures
        late = max(0, now - self.last_tick - figures.tick)
        self.late = max(late, self.late - self.late // 16)
        self.last_tick = now
        # A tick later, a tick's part of the period's datagrams is free again.
        self.sent_now = max(0, self.sent_now - figures.datagrams // figures.parts)
        if self.ended or self.yielded:
            return
        if self.missed + self.got > 64:
            self.missed, self.got = self.missed / 2, self.got / 2
        self.loss = self.missed / (self.missed + self.got) if self.got > 20 else 0.0
        if self.graph_of is None:
            self.graph_of = [one for one, known in self.known.items() if known.row.duty != LEFT]
            self.graph = watched(self.graph_of, figures.watch)
            self.dirty = True
        self.look_at_links(now)
        if self.dirty or any(known.turning is not None for known in self.known.values()):
            self.look_at_members(now)
        self.look_at_self(now)
        for rider in self.riders:
            self.effects += rider.turn(now, self)
        self.send_beats(now)

    def look_at_links(self, now):
        """The own row tells which links are down."""
        limit = self.figures.link(self.loss, self.late)
        mine = self.graph[self.me]
        down = []
        for one in mine:
            peer = self.peer(now, one)
            if now >= self.quiet_until:
                peer.down = now - peer.fresh() > (limit - self.figures.period if peer.down else limit)
            if peer.down:
                down.append(one)
        for one in [one for one, peer in self.peers.items() if one not in mine]:
            heard = self.peers[one].heard_at
            if heard is None or now - heard > 10 * self.figures.period:
                if self.known.get(one) is None or self.known[one].state != "failed":
                    del self.peers[one]
        down.sort()
        if down != self.row.down:
            self.write_row(down=down)

    def look_at_members(self, now):
        figures = self.figures
        down = {one: self.known[one].row.down for one in self.graph}
        part = judge(self.me, down, self.graph, self.out)
        self.inside, self.dirty = part, False
        # Who is out itself accuses nobody: while a cut is being noticed link by link, a member of the smaller
        # part would put out its like, who are still its fleet when all links across are known to be down.
        accuses = self.me in part and now >= self.quiet_until
        out = set()
        for one in self.graph:
            if one == self.me:
                continue
            known = self.known[one]
            usual = "leaving" if known.row.duty == LEAVING else "alive"
            if known.state == "failed":
                out.add(one)
            if one in part and (known.state != "failed" or self.shows(one, known)):
                if known.state == "suspect":
                    self.set_state(now, known, usual)
                elif known.state == "failed":
                    if known.turning is None:
                        known.turning = now
                    if now - known.turning >= figures.rise:
                        out.discard(one)
                        self.set_state(now, known, usual)
                else:
                    known.turning = None
            elif known.state == "failed":
                known.turning = None
            elif not accuses:
                known.turning = None
                self.dirty = self.dirty or now < self.quiet_until  # woke lately: looks again
            elif known.state != "suspect":
                self.set_state(now, known, "suspect")
                known.turning = now
            elif known.turning is None:
                known.turning = now
            elif now - known.turning >= figures.suspect:
                out.add(one)
                self.set_state(now, known, "failed")
        if out != self.out:
            self.out, self.dirty = frozenset(out), True

    def shows(self, one, known):
        """Whether a failed member gave a sign since. Guards against links that look up because those who told
        that they are down have forgotten the member already."""
        peer = self.peers.get(one)
        return known.row.age > known.failed_age or bool(
            peer and peer.confirmed is not None and peer.confirmed > known.since
        )

    def look_at_self(self, now):
        """Isolated: nobody is known to be connected both ways, or the connected ones hold this one to be out.
        After a pause too, until half of the watched ones were heard both ways."""
        mine = self.graph[self.me]
        others = [one for one in mine if self.known[one].state in ("alive", "leaving", "suspect")]
        touch = [
            one
            for one in others
            if one in self.inside and not self.peers[one].down and self.peers[one].confirmed is not None
        ]
        if self.waking and now >= self.quiet_until:
            self.waking = False
        if self.waking and mine and 2 * len(touch) >= len(others) and touch:
            self.waking = False
        if not (self.seeds or len(self.graph) > 1):
            self.set_isolated(False, "alone by its settings")
        elif self.me in self.inside and touch and not self.waking:
            self.alone_since = None
            if self.touch_since is None:
                self.touch_since = now
            # Others take as long to hold it to be alive again.
            if now - self.touch_since >= self.figures.rise:
                self.set_isolated(False, "contact")
        else:
            self.touch_since = None
            if self.alone_since is None:
                self.alone_since = now
            if now - self.alone_since >= self.figures.suspect + (
                self.figures.period if touch or self.me not in self.inside else 0
            ):
                self.set_isolated(True, "no contact" if not touch else "others hold it to be out")

    def send_beats(self, now):
        figures = self.figures
        for one in list(self.graph[self.me]) + [o for o in self.peers if o not in self.graph[self.me]]:
            known = self.known.get(one)
            if known is None or known.row.duty == LEFT:
                continue
            peer = self.peers[one]
            heard = peer.heard_at is not None and now - peer.heard_at <= 10 * figures.period
            if known.state == "failed" and not heard:
                continue  # sought below, by chance
            if peer.due <= now and self.beat(now, one, peer):
                # A tick early at times: beats to all would go out in one tick else, whenever all began at
                # once.
                peer.due = max(peer.due, now - figures.period) + figures.period
                if peer.seq <= 2:
                    peer.due -= self.random.randrange(figures.parts) * figures.tick
        if self.random.randrange(figures.parts) == 0:
            self.seek(now)

    def seek(self, now):
        """Failed members and seeds: about once a period, a few by chance. So halves find each other again."""
        figures = self.figures
        failed = [one for one, known in self.known.items() if known.state == "failed"]
        for one in self.random.sample(failed, min(figures.revive, len(failed))):
            self.beat(now, one, self.peer(now, one))
        taken = {known.row.address for known in self.known.values() if known.row.duty != LEFT}
        for place in self.random.sample(self.seeds, min(2, len(self.seeds))):
            if place not in taken or len(self.known) == 1:
                self.send(messages.place_of(place), Beat(self.row, 0, 0, 0, self.digest, []))
        for one in [
            one
            for one, known in self.known.items()
            if known.state in ("failed", "left") and now - known.since > figures.remember
        ]:
            self.forget(one)

    def beat(self, now, one, peer):
        rows = []
        for other in list(self.news)[:20]:
            known = self.known[other]
            if other != one and other != self.me:
                rows.append(known.row)
        room = ROOM - len(messages.encoded(self.row))
        notes = messages.fill(
            self.take_notes(now, one, room), room
        )  # a row that tells many links leaves none
        rows = messages.fill(rows, ROOM - len(messages.encoded(self.row)) - len(messages.encoded(notes)))
        for row in rows:
            other = messages.id_of(row.name)
            known = self.known[other]
            known.news -= 1
            self.news.move_to_end(other)
            if known.news <= 0:
                del self.news[other]
        self.news.pop(self.me, None)  # the own row goes with every beat
        peer.seq += 1
        peer.sent.append((peer.seq, now))
        return self.send(
            messages.place_of(self.known[one].row.address),
            Beat(self.row, peer.seq, peer.session, peer.heard_seq, self.digest, rows, notes),
        )

    # ---- what is handed out

    def set_state(self, now, known, state):
        if known.state != state:
            shown = known.shown
            known.state, known.since, known.turning = state, now, None
            if known.shown != shown:
                self.digest ^= known.hash
            if state == "failed":
                known.failed_age = known.row.age
            self.dirty = True
            self.effects.append(("change", known.row.name, state, known.row.incarnation))

    def set_isolated(self, isolated, why):
        if isolated != self.isolated:
            self.isolated = isolated
            self.effects.append(("isolated", isolated, why))

    def age(self, now, one):
        """How old what is known of a member can be. Of a watched one: since the last contact that is proven.
        Of others: what their watchers would have told by now."""
        if one == self.me:
            return 0
        peer = self.peers.get(one)
        if peer is not None and peer.confirmed is not None and one in self.graph.get(self.me, ()):
            return now - peer.confirmed
        if self.known[one].state in ("failed", "left"):
            return now - self.known[one].since + self.figures.stale(len(self.graph), self.loss, self.late)
        return self.figures.stale(len(self.graph), self.loss, self.late)

    def stale(self):
        """The bound as things are: see Figures.stale."""
        return self.figures.stale(len(self.graph), self.loss, self.late)

    def members(self, now):
        return [
            {
                "name": known.row.name,
                "address": known.row.address,
                "state": known.state,
                "incarnation": known.row.incarnation,
                "age_ms": self.age(now, one) // 1000,
            }
            for one, known in sorted(self.known.items(), key=lambda item: item[1].row.name)
        ]

    def status(self, now):
        return {
            "name": self.name,
            "incarnation": self.row.incarnation,
            "isolated": self.isolated,
            "age_ms": self.stale() // 1000,
        }

    def on_ask(self, now, address, ask):
        """Answered to where it came from: pages of the view, and with the first the counters."""
        size, pages = 8, self.members(now)
        parts = [pages[n : n + size] for n in range(0, len(pages), size)]
        if ask.page > len(parts):
            return self.count("no such page")
        view = {
            **self.status(now),
            "members": parts[ask.page - 1] if ask.page else [],
            **(
                {}
                if ask.page
                else {"counts": self.counts, "loss": round(self.loss, 3), "late_ms": self.late // 1000}
            ),
        }
        self.send(address, messages.Told(ask.number, ask.page, len(parts) + 1, view))

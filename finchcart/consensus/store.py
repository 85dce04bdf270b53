"""A node's board: its opinions, those of the others, operators' words, and the verdicts that follow.

Owns what is held of each. `reduce(now, what)` takes one input and returns effects, and `turn(now, member)`
comes with each tick of the member on whose beats the opinions ride; no I/O, clock or lock. `now` is the boot
clock in whole microseconds. It must never act on a verdict, nor take an opinion for younger than it can be: a
note is dated by the echo of the own beat that came back with it.

Inputs: `("evidence", map)` (see observations.py), `("got", address, datagram)`, `("tick",)`, `("leave",)`,
`("end",)`, `("figures", Figures)`. Effects: `("verdicts", map)` (all that holds, where it changed: see
`hand_out`), `("send", address, datagram)`, `("log", text, fields)`.

Bounds: opinions one note a member, words `figures.words`, verdicts by what opinions there are.
"""

from dataclasses import replace

import msgspec

from finchcart.consensus import messages
from finchcart.consensus.decision import decide
from finchcart.consensus.observations import MILLION, State
from finchcart.consensus.subjects import (
    ADDRESS,
    LEVEL,
    LEVEL_ITSELF,
    NODE,
    NUMBER,
    OUT,
    SLOWED,
    STORE_ITSELF,
    WORKING,
    kind_of,
    node,
    told,
)
from finchcart.membership import messages as base

IN = "alive", "leaving", "suspect"
WORDS_AT_ONCE = 3
WATCHED = 10_000_000  # who changes its note more often in this than it may is not heard for as long


class Held:
    """A verdict that stands."""

    def __init__(self, now, value, votes, of, again, figures):
        self.value, self.votes, self.of, self.since, self.again = value, votes, of, now, again
        self.until = now + min(figures.hold << again, figures.hold_most)


class Word:
    def __init__(self, said, ends, where):
        self.said, self.ends, self.where = said, ends, where


class Board:
    def __init__(self, name, fleet, figures, now):
        self.name, self.fleet, self.figures, self.me = name, fleet, figures, node(name)
        self.state = State(self.me, figures, base.id_of(figures.zone) >> 32 if figures.zone else 0)
        self.member, self.last, self.quiet_until = None, now, 0
        self.mine, self.written = None, 0  # what is said, and since when
        self.words, self.telling, self.words_written = {}, 0, 0
        self.held, self.past = {}, {}  # past: subject -> (when it ended, how often it came back)
        self.voices = {}  # who -> (since, number then, muted until): how often it changes its note
        self.decided = None, {}  # by what was decided last, and what
        self.words_read = {}  # who -> age of the note with words that was read last
        self.notes_read = {}  # who -> (age of the note, opinions in it); no more than there are members
        self.told, self.level, self.apart_since = None, 0.0, None
        self.oldest, self.heard, self.count_in = 0, 0, 1
        self.counts, self.effects, self.ended = {}, [], False

    # ---- in and out

    def reduce(self, now, what):
        self.effects = effects = []
        if what[0] == "evidence":
            if now >= self.quiet_until:
                self.state.see(now, what[1])
        elif what[0] == "got":
            self.on_got(now, what[1], what[2])
        elif what[0] == "figures":
            self.figures = self.state.figures = what[1]
        elif what[0] == "end":
            self.ended = True
        return effects

    def count(self, reason):
        self.counts[reason] = self.counts.get(reason, 0) + 1

    def turn(self, now, member):
        self.effects = effects = []
        self.member = member
        if now - self.last > member.figures.gap:
            self.on_gap(now)
        self.last = now
        self.hear_words(now)
        self.say(now)
        alone = member.isolated or member.yielded
        voices = self.gather(now, alone)
        by = voices, self.count_in, alone, self.figures
        if by != self.decided[0]:
            # Without contact the own opinion is enough, and the only one.
            figures = replace(self.figures, count=1, zones=1, source_part=0.0) if alone else self.figures
            self.decided = by, decide(voices, figures, self.count_in)
        self.hold(now, dict(self.decided[1]))
        self.hand_out(now)
        return effects

    def on_gap(self, now):
        """What was seen and held is of before; others may have seen otherwise meanwhile."""
        self.count("gaps")
        self.state.forget()
        self.quiet_until = now + self.figures.quiet
        self.held.clear()
        self.voices.clear()
        self.words_read.clear()
        self.mine = None

    # ---- what this node says

    def say(self, now):
        """At once where it matters, else with the usual beats, and anew before others take it for void."""
        said = self.state.opinions(now) if now >= self.quiet_until else []
        matters = [
            each[:2] if kind_of(each[0]) in (NUMBER, ADDRESS) else each
            for each in said
            if kind_of(each[0]) not in (LEVEL, NODE)
        ]
        new = self.mine is None or said != self.mine[0]
        if (new and now - self.written >= self.figures.pace) or now - self.written >= self.figures.life // 3:
            urgent = self.mine is None or matters != self.mine[1]
            self.mine, self.written = (said, matters), now
            self.member.write_note(now, messages.OPINIONS, [], messages.encoded(said), urgent)
        words = list(self.words.values())
        if words and now - self.words_written >= self.figures.pace:
            self.tell_words(now, words)

    def tell_words(self, now, words, urgent=False):
        """Some at a time, the newest first where they are urgent."""
        if urgent:
            some = words[-WORDS_AT_ONCE:]
        else:
            some = [words[(self.telling + n) % len(words)] for n in range(min(WORDS_AT_ONCE, len(words)))]
            self.telling += len(some)
        if not urgent and len(words) <= WORDS_AT_ONCE and now - self.words_written < self.figures.life // 3:
            return
        self.words_written = now
        out = [msgspec.structs.replace(word.said, left=max(0, word.ends - now)) for word in some]
        self.member.write_note(now, messages.WORDS, [], messages.encoded(out), urgent)

    # ---- what others say

    def gather(self, now, alone):
        """who -> opinions that count."""
        member, life = self.member, self.figures.life
        voices = {}
        if now >= self.quiet_until:
            voices[member.me] = self.state.opinions(now)
        self.oldest, self.heard, self.count_in = 0, 0, 1
        if len(self.notes_read) > len(member.known):
            self.notes_read = {one: read for one, read in self.notes_read.items() if one in member.known}
            self.words_read = {one: age for one, age in self.words_read.items() if one in member.known}
            self.voices = {one: voice for one, voice in self.voices.items() if one in member.known}
        for one, known in () if alone else member.known.items():
            if one == member.me or known.state not in IN:
                continue
            self.count_in += 1
            note = member.notes.get((one, messages.OPINIONS))
            if note is None or note.born is None or now - note.born > life:
                continue
            if self.too_often(now, one, note.note.age):
                continue
            said = self.read_once(one, note.note, known.row.name)
            if said is None:
                continue
            voices[one] = said
            self.heard += 1
            self.oldest = max(self.oldest, now - note.born)
        return voices

    def read_once(self, one, note, name):
        """The opinions in a note. A node speaks for itself alone where it tells its own figures."""
        age, said = self.notes_read.get(one, (None, None))
        if age != note.age:
            said, itself = messages.opinions(note.data), node(name)
            if said is None:
                self.count("opinions not valid")
            else:
                said = [each for each in said if kind_of(each[0]) != NODE or each[0] == itself]
            self.notes_read[one] = note.age, said
        return said

    def too_often(self, now, one, age):
        since, first, muted = self.voices.get(one, (now, age, 0))
        if age[0] != first[0] or now - since > WATCHED:
            since, first = now, age
        if age[1] - first[1] > 2 * WATCHED // self.figures.pace and now >= muted:
            muted = now + WATCHED
            self.count("speaks too often")
        self.voices[one] = since, first, muted
        return now < muted

    def hear_words(self, now):
        for (one, topic), note in self.member.notes.items():
            if (
                topic == messages.WORDS
                and note.born is not None
                and one in self.member.known
                and self.words_read.get(one) != note.note.age
            ):
                self.words_read[one] = note.note.age
                for said in messages.words(note.note.data) or ():
                    self.take(now, said, note.born + said.left, self.member.known[one].row.name)
        for subject in [subject for subject, word in self.words.items() if word.ends <= now]:
            del self.words[subject]

    def take(self, now, said, ends, where):
        """The newer word of a subject stands, whichever side of a cut it was said on."""
        held = self.words.get(said.subject)
        if ends <= now or held is not None and said.age < held.said.age:
            return False
        if held is not None and said.age == held.said.age:
            held.ends = max(held.ends, ends)
            return False
        self.words.pop(said.subject, None)
        if len(self.words) >= self.figures.words:
            del self.words[min(self.words, key=lambda each: self.words[each].ends)]
        self.words[said.subject] = Word(said, ends, where)
        self.words_written = 0
        return True

    # ---- what stands

    def hold(self, now, verdicts):
        """What is bad stands for a while once it is held; what is worse is held at once."""
        figures, held = self.figures, self.held
        self.level = verdicts.pop(LEVEL_ITSELF, (0, 0, 0))[0] / 1000
        if self.me not in verdicts:
            self.apart_since = None
        for subject, (value, votes, of) in verdicts.items():
            now_held = held.get(subject)
            if value == WORKING:
                continue
            if subject == self.me and now_held is None:
                # Guards against more out at once than may be: the others' figures must have had time to come.
                self.apart_since = self.apart_since or now
                if now - self.apart_since < self.acts_within():
                    continue
            if now_held is None:
                ended, again = self.past.pop(subject, (0, -1))
                again = again + 1 if now - ended <= figures.again else 0
                held[subject] = Held(now, value, votes, of, min(again, 10), figures)
            elif value > now_held.value or value < now_held.value and now >= now_held.until:
                held[subject] = Held(now, value, votes, of, now_held.again, figures)
            else:
                now_held.votes, now_held.of = votes, of
        for subject, verdict in list(held.items()):
            if now >= verdict.until and verdicts.get(subject, (WORKING,))[0] == WORKING:
                del held[subject]
                self.past[subject] = now, verdict.again
        for subject in [one for one, (ended, _) in self.past.items() if now - ended > figures.again]:
            del self.past[subject]

    def standing(self):
        """subject -> value: of opinions, and over them the words of operators."""
        out = {subject: verdict.value for subject, verdict in self.held.items()}
        for subject, word in self.words.items():
            if word.said.value and kind_of(subject) != LEVEL:
                out[subject] = word.said.value
        return out

    def least_level(self):
        """Below this the node may not go: the fleet's less the step, or an operator's word."""
        word = self.words.get(LEVEL_ITSELF)
        if word is not None and word.said.value:
            return word.said.value / 1000
        return max(0.0, self.level - self.figures.level_step)

    def hand_out(self, now):
        """`store`: its value; `sources`: subject -> (value, until); `out`: whether this node is to tell bad
        health; `level`: the least that it may tell."""
        stands = self.standing()
        sources = {
            subject: value
            for subject, value in stands.items()
            if kind_of(subject) in (NUMBER, ADDRESS) and value in (SLOWED, OUT)
        }
        new = {
            "store": stands.get(STORE_ITSELF, WORKING),
            "sources": sources,
            "out": stands.get(self.me) == OUT,
            "level": round(self.least_level(), 3),
        }
        if new == self.told:
            return
        before, self.told = self.told, new
        self.effects.append(("verdicts", new))
        was = self.logged if before else {}
        self.logged = {
            subject: value
            for subject, value in stands.items()
            if kind_of(subject) != NODE or subject == self.me
        }
        for subject in {**was, **self.logged}:
            if was.get(subject) != self.logged.get(subject):
                self.log(subject, self.logged.get(subject))

    def log(self, subject, value):
        kind, name, word = told(subject, value or WORKING, self.names())
        held = self.held.get(subject)
        votes = f"{held.votes} of {held.of}" if held else ""
        self.effects.append(
            (
                "log",
                f"verdict {kind} {name} {word}".replace("  ", " "),
                {"kind": kind, "subject": name, "value": word, "votes": votes},
            )
        )

    def names(self):
        if self.member is None:
            return {self.me: self.name}
        return {node(known.row.name): known.row.name for known in self.member.known.values()}

    # ---- the command line

    def on_got(self, now, address, data):
        self.count("received")
        try:
            said = messages.unpack(self.fleet, data)
        except base.Unfit as error:
            return self.count(str(error))
        if isinstance(said, messages.Say):
            view = self.on_say(now, said)
        elif isinstance(said, messages.Ask):
            view = self.status(now, said.page)
        else:
            return self.count("not asked for")
        data = base.sealed(messages.CHANNEL, self.fleet, messages.Told(said.number, view))
        if len(data) > base.MOST:
            return self.count("too long to send")
        self.effects.append(("send", address, data))

    def on_say(self, now, said):
        """An operator's word, or the taking back of one, which lasts as long as what it takes back."""
        if self.member is None:
            return {"taken": False, "why": "not started yet"}
        held = self.words.get(said.subject)
        number = held.said.number + 1 if held else 1
        left = held.ends - now if held and not said.value else said.left
        if not said.value and held is None:
            return {"taken": False, "why": "nothing is said of it"}
        word = messages.Said(
            said.subject, said.value, number, self.member.row.incarnation, self.member.me, left, said.why
        )
        self.take(now, word, now + left, self.name)
        self.tell_words(now, list(self.words.values()), urgent=True)
        return {"taken": True, "acts_within_ms": self.acts_within() // 1000}

    def acts_within(self):
        member = self.member
        return self.figures.acts_within(member.figures, self.count_in, member.loss, member.late)

    def rows(self, now):
        names, rows = self.names(), []
        for subject, value in sorted(self.standing().items()):
            kind, name, value = told(subject, value, names)
            word, held = self.words.get(subject), self.held.get(subject)
            row = {"kind": kind, "name": name, "value": value}
            if word is not None and word.said.value:
                row |= {"said_at": word.where, "why": word.said.why, "left_ms": (word.ends - now) // 1000}
            elif held is not None:
                row |= {"votes": held.votes, "of": held.of, "stands_ms": (now - held.since) // 1000}
                if kind == "source":
                    row["beyond_at_most"] = self.beyond(subject)
            rows.append(row)
        level = self.least_level()
        if level:
            rows.append({"kind": "level", "name": "", "value": f"{level:.2f}"})
        return rows

    def beyond(self, subject):
        """Messages of a shut-out source that can have come between the evidence and the last node that
        acts."""
        rates = [
            weight % MILLION
            for said in self.gather(self.last, False).values()
            for one, _, weight in said
            if one == subject
        ]
        return self.figures.beyond(max(rates, default=0) or 1, self.count_in, self.acts_within())

    def status(self, now, page=0):
        if self.member is None:
            return {"name": self.name, "verdicts": [], "pages": 1}
        rows, size = self.rows(now), 6
        figures, member = self.figures, self.member
        view = {
            "name": self.name,
            "isolated": member.isolated,
            "verdicts": rows[size * page : size * (page + 1)],
            "pages": max(1, -(-len(rows) // size)),
        }
        if page == 0:
            again = max((held.again for held in self.held.values()), default=0)
            how = member.figures, self.count_in
            view |= {
                "members": self.count_in,
                "heard": self.heard,
                "oldest_ms": self.oldest // 1000,
                "stale_at_most_ms": figures.stale() // 1000,
                "acts_within_ms": self.acts_within() // 1000,
                "store_within_ms": figures.store_within(*how, member.loss, member.late) // 1000,
                "back_within_ms": figures.back_within(*how, again, member.loss, member.late) // 1000,
                "level": self.level,
                "counts": self.counts,
            }
        return view

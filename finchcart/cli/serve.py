"""One node that takes part in a fleet: joins finchcart/__main__.py with the members' thread.

Owns the start of what a settings file asks for, and how a file read again is taken: whole or not at all. It
must never be imported where no settings file is named.
"""

import json
import os
import queue
import random
import signal
import socket
import sys
import time
from dataclasses import replace
from datetime import UTC

import msgspec
from loguru import logger
from msgspec import UNSET

from finchcart.__main__ import main, plain_log
from finchcart.cli.settings_file import Wrong, claims, figures, quota, read, verdicts
from finchcart.consensus import wire as sayings
from finchcart.consensus.board import Board
from finchcart.errors import ConfigError
from finchcart.key_leases import wire as claiming
from finchcart.key_leases.holder import Claims
from finchcart.key_leases.keeper import Keeper
from finchcart.membership import wire as base
from finchcart.membership.member import Member
from finchcart.membership.wire import place_of
from finchcart.net.datagrams import Datagrams, boot_clock
from finchcart.node.claimer import Claimer
from finchcart.node.inputs import Drain, FleetChange, ReloadConfig
from finchcart.node.meter import Meters
from finchcart.node.witness import Witness
from finchcart.quota import wire as shares
from finchcart.quota.holder import Holder
from finchcart.quota.limits import Limit, Quota
from finchcart.quota.loose import Loose
from finchcart.quota.planner import Planner

TRIAL = "store, trial calls"  # the limit by which the fleet shares the calls to a store that is down
FIXED = "name", "listen", "advertise", "seeds"  # for as long as the process lives


def json_log():
    """One object a line: `t_us` on the boot clock, time, level, message, and the fields of the line."""
    encode = msgspec.json.Encoder().encode

    def write(message):
        record = message.record
        line = {
            "t_us": boot_clock(),
            "time": record["time"].astimezone(UTC).isoformat(),
            "level": record["level"].name,
            "message": record["message"],
            **record["extra"],
        }
        if record["exception"]:
            line["exception"] = str(message)
        sys.stderr.buffer.write(encode(line) + b"\n")
        sys.stderr.buffer.flush()

    logger.remove()
    logger.add(write, format="{message}", backtrace=False, diagnose=False)


def shared(settings):
    """The limits, and with verdicts the one on trial calls; None where there are neither."""
    asked, held = quota(settings), verdicts(settings)
    if not held:
        return asked
    trial = Limit(TRIAL, held.trials, counts="trial", mode="loose")
    asked = asked or Quota()
    return replace(asked, limits=(*asked.limits, trial))


class Fleet:
    """The members' part of a node. `name`: of the node, which is its name in the fleet."""

    def __init__(self, inputs, path, settings, name):
        self.path, self.settings = path, settings
        asked = settings.fleet
        advertise = asked.listen if asked.advertise is UNSET else asked.advertise
        wall = time.time_ns() // 1_000_000
        seed = random.SystemRandom().getrandbits(64)
        self.shares = shared(settings)
        self.datagrams = Datagrams(
            place_of(asked.listen),
            lambda now: self.machines(now, name, advertise, random.Random(seed), wall),
            lambda change: inputs.put(FleetChange(change)),
            self.reread,
        )

    def machines(self, now, name, advertise, chance, wall):
        """By channel: the member, and the holder where limits are shared."""
        asked = self.settings.fleet
        out = {
            base.CHANNEL: Member(name, asked.name, advertise, asked.seeds, figures(asked), chance, wall, now)
        }
        if self.shares:
            holder = out[shares.CHANNEL] = Holder(name, asked.name, self.shares, chance, now)
            loose = Loose(self.shares, now)
            out[base.CHANNEL].riders.append(loose)
            holder.loose = loose.status
        held = verdicts(self.settings)
        if held:
            board = out[sayings.CHANNEL] = Board(name, asked.name, held, now)
            out[base.CHANNEL].riders.append(board)
        claimed = claims(self.settings)
        if claimed:
            out[claiming.CHANNEL] = Claims(name, asked.name, claimed, chance, now)
        return out

    def meters(self):
        """Of all limits of the fleet that this node is held to; new ones wait for the next start."""
        if not self.shares:
            return None
        meters = Meters(self.shares.limits, self.shares.slack, self.shares.most)
        held = verdicts(self.settings)
        if held:
            meters.rise, meters.longest = held.rise, held.trial
        return meters

    def witness(self):
        """What sees for the fleet's verdicts, where there are any."""
        held = verdicts(self.settings)
        return held and Witness(held)

    def saw(self, evidence):
        self.datagrams.tell(sayings.CHANNEL, "evidence", evidence)

    def claims(self):
        """Makes what holds tokened RPCs to claims, where there are any."""
        claimed = claims(self.settings)
        return claimed and (lambda turn: Claimer(turn, claimed.life))

    def claim(self, what):
        self.datagrams.tell_now(claiming.CHANNEL, *what)

    def reducer(self, core):
        """The core's `reduce`, with the boot clock told before each turn."""
        meters, claimer = core.meters, core.claimer
        if meters is None and claimer is None:
            return core.reduce

        def reduce(now, what):
            boot = boot_clock()
            if meters:
                meters.at(boot)
            if claimer:
                claimer.boot = boot
            return core.reduce(now, what)

        return reduce

    def use(self, name, *said):
        if any(limit.name == name for limit in self.shares.strict):
            self.datagrams.tell(shares.CHANNEL, "use", name, *said)
        else:
            self.datagrams.tell(base.CHANNEL, "rider", "use", name, *said)

    def start(self):
        self.datagrams.start()
        asked = self.settings.fleet
        logger.bind(fleet=asked.name, listen=asked.listen).info("members: {} on {}", asked.name, asked.listen)

    def heard(self, what):
        """Of a signal, in its handler."""
        if isinstance(what, Drain):
            self.datagrams.tell(None, "leave")
        elif isinstance(what, ReloadConfig):
            self.datagrams.tell(None, "reread")  # a handler may not log

    def reread(self):
        """The settings file once more, as inputs by channel; none where it can't be used."""
        try:
            new = read(self.path)
            fixed = [
                name
                for name in FIXED
                if new.fleet is UNSET or getattr(new.fleet, name) != getattr(self.settings.fleet, name)
            ]
            if not fixed and bool(quota(new)) != bool(quota(self.settings)):
                fixed = ["planners"]
            if not fixed and bool(verdicts(new)) != bool(verdicts(self.settings)):
                fixed = ["verdicts"]
            if not fixed and claims(new) != claims(self.settings):
                fixed = ["claims"]
            if fixed:
                raise Wrong([f"{self.path}: fleet.{name}: waits for the next start" for name in fixed])
        except Wrong as wrong:
            for line in wrong.mistakes:
                logger.error("settings not taken: {}", line)
            return []
        self.settings = new
        logger.info("settings taken from {}", self.path)
        said = [(base.CHANNEL, ("figures", figures(new.fleet)))]
        if verdicts(new):
            said.append((sayings.CHANNEL, ("figures", verdicts(new))))
        if self.shares:
            self.shares = shared(new)
            said += [
                (shares.CHANNEL, ("quota", self.shares)),
                (base.CHANNEL, ("rider", "quota", self.shares)),
            ]
        return said

    def end(self):
        self.datagrams.end()


def serve(path, log):
    """Status of the process."""

    def join(inputs):
        try:
            settings = read(path)
        except Wrong as wrong:
            raise ConfigError(str(wrong)) from None
        if settings.fleet is UNSET:
            return Nothing()
        with open(os.environ["ROUTER_CONFIG"], encoding="utf-8") as file:
            name = str(json.load(file)["name"])
        return Fleet(inputs, path, settings, name)

    return main({"json": json_log, "text": plain_log}[log], join if path else None)


class Nothing:
    """No fleet is asked for."""

    start = heard = end = use = saw = claim = meters = witness = claims = lambda self, *_: None

    def reducer(self, core):
        return core.reduce


def plan(path, place, listen, log):
    """One planner, until it is told to end; `place`: its address as the settings name it. Status of the
    process."""
    {"json": json_log, "text": plain_log}[log]()
    try:
        settings = read(path)
        shared_out = quota(settings) if quota(settings) and place in settings.quota.planners else None
        claimed = claims(settings) if claims(settings) and place in settings.claims.keepers else None
        if not shared_out and not claimed:
            raise Wrong([f"{path}: quota.planners, claims.keepers: {place} is not among them"])
    except Wrong as wrong:
        print(f"finchcart: {wrong}", file=sys.stderr)
        return 2
    told = queue.SimpleQueue()
    for number, what in ((signal.SIGTERM, "end"), (signal.SIGINT, "end"), (signal.SIGHUP, "reread")):
        signal.signal(number, lambda *_, what=what: told.put(what))
    chance = random.Random(random.SystemRandom().getrandbits(64))

    def again():
        try:
            new = read(path)
            if shared_out and (not quota(new) or quota(new).planners != shared_out.planners):
                raise Wrong([f"{path}: quota.planners: waits for the next start"])
            if claims(new) != claims(settings):
                raise Wrong([f"{path}: claims: waits for the next start"])
        except Wrong as wrong:
            for line in wrong.mistakes:
                logger.error("settings not taken: {}", line)
            return []
        logger.info("settings taken from {}", path)
        return [(shares.CHANNEL, ("quota", quota(new)))] if shared_out else []

    def machines(now):
        """By channel: the planner of limits, the keeper of claims."""
        out = {}
        if shared_out:
            out[shares.CHANNEL] = Planner(place, settings.fleet.name, shared_out, chance, now)
        if claimed:
            out[claiming.CHANNEL] = Keeper(settings.fleet.name, claimed, now)
        return out

    try:
        datagrams = Datagrams(place_of(listen or place), machines, lambda change: None, again)
    except OSError as error:
        print(f"finchcart: {listen or place}: {error.strerror}", file=sys.stderr)
        return 2
    datagrams.start()
    logger.info("planner {} of {}", place, settings.fleet.name)
    while (what := told.get()) != "end":
        datagrams.tell(None, what)
    datagrams.end()
    logger.info("ended")
    return 0


def ask_once(where, words, question, timeout=2.0):
    """The view that answers `question`, of the messages of `words`; a lost one is asked again."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.connect(where)
        sock.settimeout(timeout / 8)
        for _ in range(8):
            try:
                sock.send(base.sealed(words.CHANNEL, "", question))
                said = words.unpack(None, sock.recv(65536))
            except (OSError, base.Unfit):
                continue
            if isinstance(said, words.Told) and said.number == question.number:
                return said.view
    raise TimeoutError(f"no answer from {where[0]}:{where[1]}")


def ask_limits(where, timeout=2.0):
    """What a node or planner says of the limits."""
    return ask_once(where, shares, shares.Ask(random.SystemRandom().getrandbits(32)), timeout)


def ask_verdicts(where, timeout=2.0):
    """What a node holds of the fleet's verdicts, all pages."""
    number = random.SystemRandom().getrandbits(32)
    view = ask_once(where, sayings, sayings.Ask(number), timeout)
    for page in range(1, view["pages"]):
        view["verdicts"] += ask_once(where, sayings, sayings.Ask(number + page, page), timeout)["verdicts"]
    return view


def say(where, subject, value, seconds, why, timeout=2.0):
    """An operator's word, told to one node."""
    number = random.SystemRandom().getrandbits(32)
    return ask_once(where, sayings, sayings.Say(number, subject, value, int(seconds * 1e6), why), timeout)


def ask(where, timeout=2.0):
    """The whole view of a running process, page by page; a page that is lost is asked for again."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.connect(where)
        end, parts, pages = time.monotonic() + timeout, {}, None
        number = random.SystemRandom().getrandbits(32)
        sock.settimeout(timeout / 8)
        while pages is None or len(parts) < pages:
            page = next(n for n in range(len(parts) + 1) if n not in parts)
            try:
                sock.send(base.pack("", base.Ask(number, page)))
                while True:
                    said = base.unpack(None, sock.recv(65536))
                    if isinstance(said, base.Told) and said.number == number:
                        break
            except (TimeoutError, OSError, base.Unfit):
                if time.monotonic() > end:
                    raise TimeoutError(f"no answer from {where[0]}:{where[1]}") from None
                continue
            pages, parts[said.page] = said.pages, said.view
        view = dict(parts[0])
        view["members"] = [member for n in range(1, pages) for member in parts[n]["members"]]
        return view

"""One node that takes part in a fleet: joins finchcart/__main__.py with the members' thread.

Owns the start of what a settings file asks for, and how a file read again is taken: whole or not at all. It
must never be imported where no settings file is named.
"""

import json
import os
import random
import socket
import sys
import time
from datetime import UTC

import msgspec
from loguru import logger
from msgspec import UNSET

from finchcart.__main__ import ConfigError, main, plain_log
from finchcart.cli.file import Wrong, figures, read
from finchcart.members import wire
from finchcart.members.member import Member
from finchcart.members.wire import place_of
from finchcart.net.datagrams import Datagrams, boot_clock

FIXED = "name", "listen", "advertise", "seeds"  # for as long as the process lives


def json_log():
    """One object a line: `t_us` on the boot clock, time, level, message, and the fields of the line."""
    encode = msgspec.json.Encoder().encode

    def write(message):
        record = message.record
        line = {"t_us": boot_clock(), "time": record["time"].astimezone(UTC).isoformat(),
                "level": record["level"].name, "message": record["message"], **record["extra"]}
        if record["exception"]:
            line["exception"] = str(message)
        sys.stderr.buffer.write(encode(line) + b"\n")
        sys.stderr.buffer.flush()

    logger.remove()
    logger.add(write, format="{message}", backtrace=False, diagnose=False)


class Fleet:
    """The members' part of a node. `name`: of the node, which is its name in the fleet."""

    def __init__(self, inputs, path, settings, name):
        self.path, self.settings = path, settings
        asked = settings.fleet
        advertise = asked.listen if asked.advertise is UNSET else asked.advertise
        wall = time.time_ns() // 1_000_000
        seed = random.SystemRandom().getrandbits(64)
        self.datagrams = Datagrams(
            place_of(asked.listen),
            lambda now: Member(name, asked.name, advertise, asked.seeds, figures(asked), random.Random(seed),
                               wall, now),
            lambda change: inputs.put(("fleet", change)), self.reread)

    def start(self):
        self.datagrams.start()
        asked = self.settings.fleet
        logger.bind(fleet=asked.name, listen=asked.listen).info("members: {} on {}", asked.name, asked.listen)

    def heard(self, what):
        """Of a signal, in its handler."""
        if what == ("drain",):
            self.datagrams.tell("leave")
        elif what == ("reread",):
            self.datagrams.tell("reread")  # a handler may not log

    def reread(self):
        """The settings file once more, as an input for the member; None where it can't be used."""
        try:
            new = read(self.path)
            fixed = [name for name in FIXED
                     if new.fleet is UNSET or getattr(new.fleet, name) != getattr(self.settings.fleet, name)]
            if fixed:
                raise Wrong([f"{self.path}: fleet.{name}: waits for the next start" for name in fixed])
        except Wrong as wrong:
            for line in wrong.mistakes:
                logger.error("settings not taken: {}", line)
            return None
        self.settings = new
        logger.info("settings taken from {}", self.path)
        return "figures", figures(new.fleet)

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

    def start(self):
        pass

    heard = end = lambda self, *_: None


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
                sock.send(wire.pack("", wire.Ask(number, page)))
                while True:
                    said = wire.unpack(None, sock.recv(65536))
                    if isinstance(said, wire.Told) and said.number == number:
                        break
            except (TimeoutError, OSError, wire.Unfit):
                if time.monotonic() > end:
                    raise TimeoutError(f"no answer from {where[0]}:{where[1]}") from None
                continue
            pages, parts[said.page] = said.pages, said.view
        view = dict(parts[0])
        view["members"] = [member for n in range(1, pages) for member in parts[n]["members"]]
        return view

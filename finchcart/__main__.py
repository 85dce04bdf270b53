"""One real node: `python -m finchcart`.

Owns the start and the end of the process: configuration, limits, logging, signals, and the one thread that
feeds the core and carries out what it asks. It must never hold state of RPCs or decide anything.
"""

import json
import os
import signal
import socket
import sys
import threading
import time
from collections import deque
from queue import Empty, SimpleQueue

from loguru import logger

from finchcart import settings
from finchcart.errors import ConfigError
from finchcart.net.buffers import Buffers
from finchcart.net.connection_table import ConnectionTable
from finchcart.net.limits import Limits
from finchcart.net.listener import Listener
from finchcart.node import effects
from finchcart.node.core import Core
from finchcart.node.effect_buffer import own_connections_first
from finchcart.node.inputs import (
    AddressesChanged,
    CloseAttempted,
    ConnectionEnded,
    Drain,
    FramesReceived,
    LoadMeasured,
    MessagesReceived,
    ReloadConfig,
    Start,
    ThreadDied,
    TimersDue,
)
from finchcart.thrift import codec
from finchcart.thrift.frontend import ThriftFrontend

# Where the other parties are, and the configuration's word for it: these may change while the node runs.
PLACES = {"pool": "pool", "store": "store", "registry": "roster"}


def address(text):
    """Host and port. Names are not looked up: a host is an IPv4 address, and no thread fails on it later."""
    host, _, port = text.rpartition(":")
    if not 0 < int(port) < 65536:
        raise ValueError(f"{text}: no such port")
    socket.inet_pton(socket.AF_INET, host)
    return host, int(port)


def watching(told):
    """The settings to watch, over those in force, and the period of the lines; None: nothing is watched."""
    if told is None:
        return None
    settings.check(
        "watch",
        told,
        (
            lambda v: isinstance(v, dict) and isinstance(v.get("settings"), dict),
            "an object with settings and period_ms",
        ),
    )
    period = told.get("period_ms", 10_000)
    settings.check("watch.period_ms", period, settings.number(100, 86_400_000))
    return {"settings": settings.from_json(told["settings"]), "period": int(period * 1000)}


def read_config(path):
    if not path:
        raise ConfigError("ROUTER_CONFIG is not set: expected the path of the configuration")
    try:
        with open(path, encoding="utf-8") as file:
            config = json.load(file)
        return {
            "name": str(config["name"]),
            "listen": address(config["listen"]),
            # A node of the last tier has nothing below: no store is named there.
            "places": {
                place: address(config[word]) if place != "store" or word in config else None
                for place, word in PLACES.items()
            },
            "seed": int(str(config.get("seed", "0")), 16),
            "settings": settings.from_json(config["settings"]),
            "limits": Limits.from_config(config["limits"], config["stop_ms"]),
            "watch": watching(config.get("watch")),
        }
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from None
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from None
    except Exception as error:
        # Whatever the file holds, nested or sized as it may be, it is refused in words and ends no node.
        raise ConfigError(f"{path}: {type(error).__name__}: {str(error)[:200]}") from None


def fault_in_thread(inputs, fault):
    """No thread dies in silence: the node ends rather than lose what its link was owed."""
    fault_in = fault.exc_type, fault.exc_value, fault.exc_traceback
    logger.opt(exception=fault_in).error("thread {} died", fault.thread.name)
    inputs.put(ThreadDied(fault.thread.name))


def reread(path, used):
    """The configuration once more, as an input; None where it can't be used. `used`: the one in use."""
    try:
        config = read_config(path)
    except ConfigError as error:
        # Guards against a file that is wrong or half written: the node goes on with what it has.
        logger.error("configuration not taken: {}", error)
        return None
    fixed = [name for name in ("name", "listen", "settings", "limits", "watch") if config[name] != used[name]]
    if fixed:
        logger.warning("configuration: new {} wait for the next start", ", ".join(fixed))
    return AddressesChanged(config["places"])


def serve(core, links, inputs, reread, limits, fleet=None):
    """Turn after turn, until the core asks for the end. A turn takes all inputs that wait, up to a bound;
    what it sends on one link is one write. Where inputs take much of the time, the thread rests between
    turns: then no reader has to wake it for each message, and what comes meanwhile is one turn."""
    clock, take = time.time_ns, inputs.get_nowait
    acts = {
        effects.Read: links.request_batch,
        effects.Send: links.send,
        effects.SendBefore: links.send_before,
        effects.Close: links.close,
        effects.Drop: links.drop,
        effects.Connect: links.connect,
        effects.SendReport: links.report,
        effects.StopListening: links.stop_listening,
        effects.Log: logger.info,
    }
    reduce = core.reduce
    if fleet:
        reduce = fleet.reducer(core)
        acts |= {
            effects.PublishUsage: fleet.use,
            effects.PublishEvidence: fleet.saw,
            effects.KeyLeaseCommand: fleet.claim,
        }
    links.listen()
    waiting = deque([Start()])
    told, idle = clock() // 1000, 0  # when the load was told last, and how long nothing was to be done since
    rest = 0.0
    while True:
        more = True  # as many waited as a turn takes, and perhaps others
        try:
            for _ in range(limits.turn_inputs):
                waiting.append(take())
        except Empty:
            more = False
        waiting = deque(own_connections_first(waiting))
        now = clock() // 1000
        if now - told >= limits.load_interval:
            span = now - told
            waiting.append(LoadMeasured(span - idle, span))
            rest = limits.busy_pause / 1e6 if idle < (1 - limits.busy_threshold) * span else 0.0
            told, idle = now, 0
        if not waiting:
            waiting.append(TimersDue())
        while waiting:
            what = waiting.popleft()
            kind = type(what)
            if kind is FramesReceived:
                messages, fault = links.decode(what.connection, what.frames)
                if fault is not None:
                    waiting.appendleft(ConnectionEnded(what.connection, fault))
                what = MessagesReceived(what.connection, messages, what.received_at)
            elif kind is ReloadConfig:
                what = reread() or TimersDue()
            for effect in reduce(clock() // 1000, what):
                kind = type(effect)
                if kind is effects.Defer:
                    waiting.append(effect.input)
                elif kind is effects.CloseIfIdle:
                    # Next, before anything that the link has read: what was read by then has no answer.
                    closed = links.close_if_idle(effect.connection)
                    waiting.appendleft(CloseAttempted(effect.connection, closed))
                elif kind is effects.End:
                    links.flush()
                    return
                else:
                    acts[kind](*effect)
        links.flush()
        if more:
            continue  # guards against rests of a thread that is behind
        due, before = core.next_timer(), clock()
        wait = None if due is None else max(0.0, due / 1e6 - before / 1e9)
        if rest:
            time.sleep(rest if wait is None else min(rest, wait))
        elif wait is None or wait:
            try:
                waiting.append(inputs.get(timeout=wait))
            except Empty:
                pass
        idle += (clock() - before) // 1000


def plain_log():
    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", backtrace=False, diagnose=False)


def main(log=plain_log, join=None):
    """Status of the process. `join(inputs)`: takes part in a fleet, see finchcart/cli/serve.py; its
    `heard(what)` is told of signals, its `end()` of the end; `meters()` and `reducer(core)` hold
    calls and RPCs to the fleet's limits, `witness()` and `saw` are for its verdicts."""
    inputs = SimpleQueue()  # its put may be called from a signal handler
    hears = [inputs.put]
    for number, what in ((signal.SIGTERM, Drain), (signal.SIGINT, Drain), (signal.SIGHUP, ReloadConfig)):
        # With the moment: the turn that takes it may come late, and the grace counts from the notice.
        signal.signal(number, lambda *_, what=what: [hear(what(time.time_ns() // 1000)) for hear in hears])
    log()
    fleet = None
    try:
        path = os.environ.get("ROUTER_CONFIG")
        config = read_config(path)
        limits = config["limits"]
        listener = Listener(config["listen"], limits)
        if join:
            fleet = join(inputs)
            hears.append(fleet.heard)
    except (ConfigError, OSError, OverflowError) as error:
        print(f"finchcart: {error}", file=sys.stderr)
        return 2
    threading.stack_size(limits.thread_stack)
    threading.excepthook = lambda fault: fault_in_thread(inputs, fault)
    core = Core(
        config["settings"],
        limits,
        config["seed"],
        config["name"],
        config["places"],
        lambda core: {"thrift": ThriftFrontend(core, limits)},
        config["watch"],
        *((fleet.meters(), fleet.witness(), fleet.claims()) if fleet else ()),
    )
    links = ConnectionTable(inputs, Buffers(limits), limits, listener, "thrift", codec.THRIFT_CODEC)
    logger.info("{} on {}:{}", config["name"], *config["listen"])
    if fleet:
        fleet.start()
    try:
        serve(core, links, inputs, lambda: reread(path, config), limits, fleet)
    except Exception:
        # Guards against serving wrongly: state that an exception went through is not trusted any more.
        logger.exception("the node's state can't be trusted, ending")
        return 1
    if fleet:
        fleet.end()
    logger.info("ended")
    return 0


def start():
    """With arguments, the command line; without, one node and nothing else."""
    if len(sys.argv) > 1:
        from finchcart.cli.commands import commands

        commands(prog_name="finchcart")
    status = main()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)  # threads that still wait on a socket are not waited for


if __name__ == "__main__":
    start()

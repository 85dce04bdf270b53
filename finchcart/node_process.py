"""The process of one node, from its start to its end.

Owns signals, logging, threads' settings and the order in which a node is put together; both
`python -m finchcart` and `finchcart serve` start it here. It must never import anything of a fleet: who takes
part in one hands its part in.
"""

import os
import signal
import sys
import threading
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from queue import SimpleQueue
from types import FrameType
from typing import TYPE_CHECKING, NoReturn

from loguru import logger

from finchcart.errors import ConfigError
from finchcart.event_loop import EventLoop
from finchcart.log_sink import LogSink
from finchcart.net.buffers import Buffers
from finchcart.net.clock import boot_clock
from finchcart.net.connection_table import ConnectionTable
from finchcart.net.listener import Listener
from finchcart.net.transient_errors import retry_at_start
from finchcart.node.core import Core
from finchcart.node.inputs import Drain, Input, ReloadConfig, ThreadDied
from finchcart.node_config import PATH_VARIABLE, NodeConfig, read_config, reread_config
from finchcart.thrift import codec
from finchcart.thrift.frontend import ThriftFrontend

if TYPE_CHECKING:  # not imported where no fleet is configured
    from finchcart.fleet_participant import FleetParticipant

EXIT_FAULT = 1
EXIT_NOT_STARTED = 2
FRONTEND = "thrift"
NOTICES: dict[int, type[Drain] | type[ReloadConfig]] = {
    signal.SIGTERM: Drain,
    signal.SIGINT: Drain,
    signal.SIGHUP: ReloadConfig,
}

Inputs = SimpleQueue[Input]
JoinFleet = Callable[[Inputs, str], "FleetParticipant | None"]


def log_as_text() -> None:
    """Log lines of text on stderr."""
    logger.remove()
    text = "{time:HH:mm:ss.SSS} {level} {message}"
    logger.add(LogSink(), format=text, backtrace=False, diagnose=False)


def run_node(configure_log: Callable[[], None] = log_as_text, join_fleet: JoinFleet | None = None) -> int:
    """Serve as a node until the notice to leave; return the status of the process.

    `join_fleet(inputs, name)` makes the node's part in a fleet, or None; it raises ConfigError where that
    cannot be.
    """
    inputs: Inputs = SimpleQueue()  # its put may be called from a signal handler
    listeners: list[Callable[[Drain | ReloadConfig], None]] = [inputs.put]
    _handle_signals(listeners)
    configure_log()
    path = os.environ.get(PATH_VARIABLE)
    try:
        config = retry_at_start(lambda: read_config(path), "configuration")
        listener = retry_at_start(lambda: Listener(config.listen, config.limits), "listening")
        fleet = join_fleet(inputs, config.name) if join_fleet else None
    except (ConfigError, OSError, OverflowError) as error:
        with suppress(OSError):  # nobody may be reading
            print(f"finchcart: {error}", file=sys.stderr)
        return EXIT_NOT_STARTED
    if fleet:
        listeners.append(fleet.on_signal)
    _configure_threads(inputs, config.limits.thread_stack_bytes)
    core = _make_core(config, fleet)
    connections = ConnectionTable(
        inputs, Buffers(config.limits), config.limits, listener, FRONTEND, codec.THRIFT_CODEC
    )
    logger.info("{} on {}:{}", config.name, *config.listen)
    loop = EventLoop(core, connections, inputs, partial(reread_config, path, config), config.limits, fleet)
    return _run_to_end(loop, fleet)


def exit_process(status: int) -> NoReturn:
    """End the process immediately: threads that still wait on a socket are not waited for."""
    for stream in (sys.stdout, sys.stderr):
        with suppress(OSError, ValueError):  # a full disk, or nobody reads: the exit status is enough
            stream.flush()
    os._exit(status)


def _handle_signals(listeners: list[Callable[[Drain | ReloadConfig], None]]) -> None:
    """Have signals make inputs, for the listeners there are when one comes."""

    def handle(number: int, _: FrameType | None) -> None:
        # With the moment: the turn that takes it may come late, and the grace counts from the notice.
        notice = NOTICES[number](boot_clock())
        for notify in listeners:
            notify(notice)

    for number in NOTICES:
        signal.signal(number, handle)


def _configure_threads(inputs: Inputs, stack_size: int) -> None:
    """Set the stacks of threads, in bytes, and what happens when one dies.

    No thread dies without a log line: the node ends rather than lose a response that is pending.
    """

    def on_death(fault: threading.ExceptHookArgs) -> None:
        exception = fault.exc_type, fault.exc_value, fault.exc_traceback
        name = fault.thread.name if fault.thread else "unknown"
        logger.opt(exception=exception).error("thread {} died", name)
        inputs.put(ThreadDied(name))

    threading.stack_size(stack_size)
    threading.excepthook = on_death


def _make_core(config: NodeConfig, fleet: "FleetParticipant | None") -> Core:
    fleet_parts = (fleet.limiters(), fleet.observer(), fleet.key_lease_factory()) if fleet else ()
    return Core(
        config.settings,
        config.limits,
        config.seed,
        config.name,
        config.addresses,
        lambda core: {FRONTEND: ThriftFrontend(core, config.limits)},
        config.shadow,
        *fleet_parts,
    )


def _run_to_end(loop: EventLoop, fleet: "FleetParticipant | None") -> int:
    if fleet:
        fleet.start()
    try:
        loop.run()
    except Exception:  # guards against serving on with state that an exception left half changed
        logger.exception("the node's state can't be trusted, ending")
        return EXIT_FAULT
    if fleet:
        fleet.stop()
    logger.info("ended")
    return 0

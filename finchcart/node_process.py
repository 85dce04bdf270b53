"""The process of one node, from its start to its end.

This module sets up signals, logging and threads, and creates the components of a node in order. Both
`python -m finchcart` and `finchcart serve` start a node here. The module must never import anything that
belongs to a fleet: the caller of `run_node` passes a function that joins the fleet and returns the
`FleetParticipant`.
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

if TYPE_CHECKING:  # a node without a fleet must not import this module at run time
    from finchcart.fleet_participant import FleetParticipant

EXIT_FAILED = 1
EXIT_NOT_STARTED = 2
FRONTEND_NAME = "thrift"
SIGNAL_INPUTS: dict[int, type[Drain] | type[ReloadConfig]] = {
    signal.SIGTERM: Drain,
    signal.SIGINT: Drain,
    signal.SIGHUP: ReloadConfig,
}

Inputs = SimpleQueue[Input]
JoinFleet = Callable[[Inputs, str], "FleetParticipant | None"]


def log_as_text() -> None:
    """Write the log as lines of text on standard error."""
    logger.remove()
    text = "{time:HH:mm:ss.SSS} {level} {message}"
    logger.add(LogSink(), format=text, backtrace=False, diagnose=False)


def run_node(configure_log: Callable[[], None] = log_as_text, join_fleet: JoinFleet | None = None) -> int:
    """Serve as a node until it has drained; return the exit status of the process.

    `join_fleet(inputs, name)` returns the node's `FleetParticipant`, or None if no fleet is configured. It
    raises ConfigError if the settings of the fleet are invalid.
    """
    inputs: Inputs = SimpleQueue()  # a queue whose put() is safe to call from a signal handler
    signal_listeners: list[Callable[[Drain | ReloadConfig], None]] = [inputs.put]
    _handle_signals(signal_listeners)
    configure_log()
    path = os.environ.get(PATH_VARIABLE)
    try:
        config = retry_at_start(lambda: read_config(path), "configuration")
        listener = retry_at_start(lambda: Listener(config.listen, config.limits), "listening")
        fleet = join_fleet(inputs, config.name) if join_fleet else None
    except (ConfigError, OSError, OverflowError) as error:
        with suppress(OSError):  # standard error may be closed
            print(f"finchcart: {error}", file=sys.stderr)
        return EXIT_NOT_STARTED
    if fleet:
        signal_listeners.append(fleet.on_signal)
    _configure_threads(inputs, config.limits.thread_stack_bytes)
    core = _make_core(config, fleet)
    connections = ConnectionTable(
        inputs, Buffers(config.limits), config.limits, listener, FRONTEND_NAME, codec.THRIFT_CODEC
    )
    logger.info("node {} listening on {}:{}", config.name, *config.listen)
    loop = EventLoop(core, connections, inputs, partial(reread_config, path, config), config.limits, fleet)
    return _run_event_loop(loop, fleet)


def exit_process(status: int) -> NoReturn:
    """End the process immediately, without waiting for threads that are blocked on a socket."""
    for stream in (sys.stdout, sys.stderr):
        with suppress(OSError, ValueError):  # the disk may be full, or the stream closed; the status counts
            stream.flush()
    os._exit(status)


def _handle_signals(signal_listeners: list[Callable[[Drain | ReloadConfig], None]]) -> None:
    """Install signal handlers that pass an input to each function in `signal_listeners` at that time."""

    def handle(number: int, _: FrameType | None) -> None:
        # The input holds the time of the signal, from which the grace period counts: the turn that processes
        # the input may run late.
        signal_input = SIGNAL_INPUTS[number](boot_clock())
        for notify in signal_listeners:
            notify(signal_input)

    for number in SIGNAL_INPUTS:
        signal.signal(number, handle)


def _configure_threads(inputs: Inputs, stack_size: int) -> None:
    """Set the stack size of threads, in bytes, and the handler for exceptions that end a thread.

    The handler logs each such exception and ends the node, which otherwise might never send a response that
    is pending.
    """

    def on_thread_exception(fault: threading.ExceptHookArgs) -> None:
        exception = fault.exc_type, fault.exc_value, fault.exc_traceback
        name = fault.thread.name if fault.thread else "unknown"
        logger.opt(exception=exception).error("unhandled exception in thread {}; the node exits", name)
        inputs.put(ThreadDied(name))

    threading.stack_size(stack_size)
    threading.excepthook = on_thread_exception


def _make_core(config: NodeConfig, fleet: "FleetParticipant | None") -> Core:
    fleet_parts = (fleet.limiters(), fleet.observer(), fleet.key_lease_factory()) if fleet else ()
    return Core(
        config.settings,
        config.limits,
        config.seed,
        config.name,
        config.addresses,
        lambda core: {FRONTEND_NAME: ThriftFrontend(core, config.limits)},
        config.shadow,
        *fleet_parts,
    )


def _run_event_loop(loop: EventLoop, fleet: "FleetParticipant | None") -> int:
    if fleet:
        fleet.start()
    try:
        loop.run()
    except Exception:  # the exception may have left the state half changed, so the node must not go on
        logger.exception("unhandled exception in the event loop; the node exits, as its state may be invalid")
        return EXIT_FAILED
    if fleet:
        fleet.stop()
    logger.info("ended")
    return 0

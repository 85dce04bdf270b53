"""One real node: `python -m finchcart`.

Owns the start and the end of the process: configuration, limits, logging, signals, and the one thread that
feeds the reducer and carries out what it asks. It must never hold state of RPCs or decide anything.
"""

import json
import os
import signal
import sys
import threading
import time
from collections import deque
from queue import Empty, SimpleQueue

from loguru import logger

from finchcart import settings
from finchcart.net.buffers import Buffers
from finchcart.net.limits import Limits
from finchcart.net.links import Links, Listener
from finchcart.net.reducer import Reducer


class ConfigError(Exception):
    """The configuration can't be used: says what is wrong."""


def address(text):
    host, _, port = text.rpartition(":")
    return host, int(port)


def read_config(path):
    if not path:
        raise ConfigError("ROUTER_CONFIG is not set: expected the path of the configuration")
    try:
        with open(path, encoding="utf-8") as file:
            config = json.load(file)
        return {
            "name": str(config["name"]), "listen": address(config["listen"]), "pool": address(config["pool"]),
            "store": address(config["store"]), "roster": address(config["roster"]),
            "seed": int(str(config.get("seed", "0")), 16), "settings": settings.from_json(config["settings"]),
            "limits": Limits.of(config["limits"], config["stop_ms"]),
        }
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from None
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from None


def fault_in_thread(inputs, fault):
    """No thread dies in silence: the node ends rather than lose what its link was owed."""
    fault_in = fault.exc_type, fault.exc_value, fault.exc_traceback
    logger.opt(exception=fault_in).error("thread {} died", fault.thread.name)
    inputs.put(("fault", fault.thread.name))


def serve(reducer, links, inputs):
    """One input after the other, until the reducer asks for the end."""
    pending = deque([("start",)])
    links.listen()
    while True:
        if pending:
            what = pending.popleft()
        else:
            due = reducer.due()
            try:
                what = inputs.get(timeout=None if due is None else max(0, due - time.time_ns() // 1000) / 1e6)
            except Empty:
                what = ("time",)
        for act, *args in reducer.reduce(time.time_ns() // 1000, what):
            if act == "later":
                pending.append(args[0])
            elif act == "log":
                logger.info(args[0])
            elif act == "end":
                return
            else:
                getattr(links, act)(*args)


def main():
    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", backtrace=False, diagnose=False)
    try:
        config = read_config(os.environ.get("ROUTER_CONFIG"))
        limits = config["limits"]
        listener = Listener(config["listen"], limits)
    except (ConfigError, OSError, OverflowError) as error:
        print(f"finchcart: {error}", file=sys.stderr)
        return 2
    threading.stack_size(limits.stack)
    inputs = SimpleQueue()  # its put may be called from a signal handler
    threading.excepthook = lambda fault: fault_in_thread(inputs, fault)
    signal.signal(signal.SIGTERM, lambda *_: inputs.put(("drain",)))
    signal.signal(signal.SIGINT, lambda *_: inputs.put(("drain",)))
    reducer = Reducer(config["settings"], limits, config["seed"], config["name"])
    links = Links(inputs, Buffers(limits), limits, {"pool": config["pool"], "store": config["store"]},
                  config["roster"], listener)
    logger.info("{} on {}:{}", config["name"], *config["listen"])
    try:
        serve(reducer, links, inputs)
    except Exception:
        # Guards against serving wrongly: state that an exception went through is not trusted any more.
        logger.exception("the node's state can't be trusted, ending")
        return 1
    logger.info("ended")
    return 0


if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)  # threads that still wait on a socket are not waited for

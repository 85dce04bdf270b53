"""Configure and start a node process for a benchmark or a test."""

import copy
import json
import os
import random
import socket
import subprocess
import sys
import time
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path

Address = tuple[str, int]

SETTINGS = {
    "contract": {"cold": 0, "overloadFactor": 8.0, "startCapacity": 1.0, "stopSendingWithin": 100_000},
    "familyInfo": {
        "callerIdle": 30_000_000,
        "callsOut": 200.0,
        "callsOver": 5_000_000,
        "classCalls": [True, True],
        "cores": 512,
        "freshStart": False,
        "gauges": ["core_use", "on_cores", "heap_share", "links"],
        "kbPerKey": 1.0,
        "linger": 200_000,
        "memoryKb": 4_000_000.0,
        "preemption": "silent",
        "runFactor": 2.0,
        "say": "level",
        "worthWithout": [0.6, 0.0],
    },
    "limits": {"maxRetryAfter": 1_000_000, "retryAfter": True},
    "round": 2000,
    "services": [
        {
            "name": "read",
            "effect": "read_like",
            "worth": 1.0,
            "target": 1_800_000,
            "deadline": 4_600_000,
            "window": 5_000_000,
            "lateWorth": 0.0,
        },
        {
            "name": "write",
            "effect": "idempotency_key",
            "worth": 3.0,
            "target": 1_800_000,
            "deadline": 4_600_000,
            "window": 13_000_000,
            "lateWorth": 0.0,
        },
    ],
    "worthBy": "work",
}
PROCESS_LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
PORT_RANGE = (10_000, 32_000)
MAX_CONNECT_ATTEMPTS = 2000  # a node on a core that other processes keep busy starts late
CONNECT_TIMEOUT_S = 1


def free_address(kind: socket.SocketKind = socket.SOCK_STREAM) -> Address:
    """Return a free loopback address with a port outside the ephemeral range.

    A client that retries a connection to an ephemeral port may be given that port as its own, and then
    connects to itself.
    """
    while True:
        with socket.socket(socket.AF_INET, kind) as sock, suppress(OSError):
            sock.bind(("127.0.0.1", random.SystemRandom().randrange(*PORT_RANGE)))
            return sock.getsockname()


def settings_with(contract: Mapping[str, object], family: Mapping[str, object]) -> dict:
    """Return a copy of `SETTINGS` with the blocks `contract` and `familyInfo` updated by these values."""
    settings = copy.deepcopy(SETTINGS)
    settings["contract"].update(contract)
    settings["familyInfo"].update(family)
    return settings


def write_configuration(
    path: Path,
    name: str,
    seed: str,
    stop_ms: int,
    addresses: Mapping[str, Address],
    settings: dict = SETTINGS,
) -> None:
    """Write a node's configuration file; `addresses` maps configuration keys to addresses."""
    configuration = {
        "name": name,
        "seed": seed,
        "stop_ms": stop_ms,
        "settings": settings,
        "limits": PROCESS_LIMITS,
        **{key: f"{host}:{port}" for key, (host, port) in addresses.items()},
    }
    path.write_text(json.dumps(configuration))


def start_node(configuration: Path, tree: Path | None = None) -> subprocess.Popen:
    """Start a node process; `tree` is the source checkout to run instead of this one."""
    env = {**os.environ, "ROUTER_CONFIG": str(configuration), "MALLOC_ARENA_MAX": "2"}
    if tree is not None:
        env["PYTHONPATH"] = str(tree)
    command = [sys.executable, "-m", "finchcart"]
    return subprocess.Popen(command, cwd=tree, stderr=subprocess.DEVNULL, env=env)


def wait_until_listening(address: Address, interval: float) -> None:
    """Try to connect every `interval` seconds; raise TimeoutError after `MAX_CONNECT_ATTEMPTS` failures."""
    for _ in range(MAX_CONNECT_ATTEMPTS):
        try:
            socket.create_connection(address, timeout=CONNECT_TIMEOUT_S).close()
        except OSError:
            time.sleep(interval)
        else:
            return
    raise TimeoutError(f"no process listens at {address} after {MAX_CONNECT_ATTEMPTS} attempts")

"""Builds the configuration and the settings of nodes in fault-injection runs."""

import copy
from collections.abc import Sequence
from typing import Any

from finchcart.fault_injection.processes.loopback_addresses import WORKER_POOL_PORT, LoopbackAddresses

EXAMPLE_CONFIGURATION = {
    "seed": "1",
    "stop_ms": 2500,
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
    "settings": {
        "contract": {"cold": 0, "overloadFactor": 8.0, "startCapacity": 1.0, "stopSendingWithin": 400_000},
        "familyInfo": {
            "callerIdle": 30_000_000,
            "callsOut": 6.0,
            "callsOver": 5_000_000,
            "classCalls": [True, False],
            "cores": 4,
            "freshStart": False,
            "gauges": ["core_use", "on_cores", "heap_share", "links"],
            "kbPerKey": 130.0,
            "linger": 200_000,
            "memoryKb": 46000.0,
            "preemption": "silent",
            "runFactor": 8.0,
            "say": "level",
            "worthWithout": [0.6, 0.0],
        },
        "limits": {"maxRetryAfter": 1_000_000, "retryAfter": True},
        "round": 2000,
        "services": [
            {
                "name": "look-up",
                "effect": "read_like",
                "worth": 1.0,
                "target": 1_800_000,
                "deadline": 4_600_000,
                "window": 5_000_000,
                "lateWorth": 0.0,
            },
            {
                "name": "book",
                "effect": "idempotency_key",
                "worth": 3.0,
                "target": 1_800_000,
                "deadline": 4_600_000,
                "window": 13_000_000,
                "lateWorth": 0.0,
            },
        ],
        "worthBy": "work",
    },
}


def store_share(limits: Sequence[dict], nodes: int, static: bool) -> float | None:
    """Return the store capacity to configure on a node, or None where there are no limits.

    The capacity is the whole first limit, or an equal share of it for each node where limits are `static`.
    """
    if not limits:
        return None
    whole = limits[0].get("in_hand") or limits[0]["rate"]
    return whole / nodes if static else whole


def node_configuration(name: str, addresses: LoopbackAddresses, share: float | None) -> dict[str, Any]:
    """Return the configuration that the platform gives to a node."""
    configuration = copy.deepcopy(EXAMPLE_CONFIGURATION)
    if share is not None:
        configuration["settings"]["familyInfo"]["callsOut"] = share
    return {
        **configuration,
        "name": name,
        "listen": addresses.node(name),
        "pool": f"{addresses.own_host(name)}:{WORKER_POOL_PORT}",
        "store": addresses.store(name),
        "roster": addresses.registry,
    }


def fleet_settings(
    name: str, fleet_name: str, addresses: LoopbackAddresses, seeds: list[str], fleet: dict
) -> dict[str, Any]:
    """Return the `fleet` section of a process's settings file."""
    host, port = addresses.member(name)
    return {
        "name": fleet_name,
        "listen": f"{host}:{port}",
        "advertise": addresses.advertised(name),
        "seeds": seeds,
        **fleet,
    }

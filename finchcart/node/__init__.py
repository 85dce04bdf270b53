"""The core of a node: RPCs, their runs and calls, idempotency keys, timers, registration and drain.

Owns all state of a node but that of the frontends' connections, and every change of it, as state machines:
`core.Core.reduce(now, input) -> effects`. It must never do I/O, take a lock, read a clock, know a frontend's
protocol (no sequence number, no delivery tag) or decide about an RPC: decisions come from
finchcart/decisions/controller.py through the port. How a frontend joins: frontend.py.
"""

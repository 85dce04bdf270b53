"""The core of a node: RPCs, their runs, calls and tokens, timers, registry and drain.

Owns all state of a node but that of the fronts' connections, and every change of it, as state machines:
`core.Core.reduce(now, input) -> effects`. It must never do I/O, take a lock, read a clock, know a front's
protocol (no sequence number, no delivery tag) or decide about an RPC: decisions come from
finchcart/control.py through the port. How a front joins: front.py.
"""

"""The core of a node: RPCs, their runs and calls, idempotency keys, timers, registration and drain.

The package owns all state of a node except the state of the frontends' connections. It is a state machine:
`core.Core.reduce(now, input)` processes one input and returns the effects. The package must never do I/O,
take a lock, read a clock, depend on a frontend's protocol (on sequence numbers or delivery tags, for example)
or decide about an RPC: the decision module (finchcart/decisions/controller.py) decides, and acts through the
port. frontend.py describes the interface for frontends.
"""

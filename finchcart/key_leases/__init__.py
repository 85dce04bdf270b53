"""Leases on idempotency keys: within the window of a key, only one node of the fleet may run its RPC.

This package owns:

- the replicas, a quorum of which grants each lease (replica.py);
- the client in each node, which acquires a lease before a run is commanded and reports how the run ended
  (client.py, attempts.py, outcome_deliveries.py);
- their messages (messages.py) and their configuration with the bounds that follow from it (config.py).

It must never run an RPC, hold a socket, a clock or a lock, nor free a lease because its holder failed: the
run may have begun.
"""

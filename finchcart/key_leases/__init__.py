"""Leases on idempotency keys: the run of a key belongs to one node of the fleet for the time of its window.

Owns the replicas, of which a quorum grants each lease (replica.py), the node's side, which acquires a lease
before a run is commanded and reports how the run ended (client.py, attempts.py, outcome_deliveries.py), their
messages (messages.py) and their configuration with the bounds that follow from it (config.py). It must never
run anything, hold a socket, a clock or a lock, nor free a lease because its holder failed: the run may have
begun.
"""

"""Consensus of the fleet's nodes on the health of the store, of traffic sources and of each other.

Each node reports what it observed; the reports are piggybacked on the members' heartbeats, and every node
derives the same decisions from the same reports. This package owns:

- a node's own reports (observations.py, publisher.py) and those of the other members (collector.py);
- the rules that derive decisions from reports (decision.py) and the decisions in force (active_decisions.py);
- operators' overrides, which replace decisions for a limited time (overrides.py);
- the state machine that combines them (store.py, fleet_decisions.py).

It must never act on a decision, nor hold a socket, a clock or a lock: it hands the decisions to the core,
whose decision module acts on them.
"""

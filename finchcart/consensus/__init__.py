"""Consensus: what the whole fleet holds to be so, from what its nodes observed.

Owns reports (one node's, observations.py), the rule that makes decisions of them (decision.py, pure), how
long they stand (standing.py), operators' overrides (overrides.py) and the state machine that joins them
(store.py). Reports are piggybacked on the members' heartbeats. It must never act on a decision, hold a
socket, a clock or a lock: the core is told of decisions, and its decision module acts.
"""

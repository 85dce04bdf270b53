"""Consensus: health decisions that hold for the whole fleet, from what its nodes observed.

Owns a node's reports (observations.py, publisher.py), those of the others (collector.py), the rule that makes
decisions of them (decision.py, pure), how long these stay in force (active_decisions.py), operators'
overrides (overrides.py), and the state machine that joins them (store.py, fleet_decisions.py). Reports are
piggybacked on the members' heartbeats. It must never act on a decision, nor hold a socket, a clock or a lock:
the core receives the decisions, and its decision module acts.
"""

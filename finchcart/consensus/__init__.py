"""Verdicts: what the whole fleet holds to be so, from what its nodes saw.

Owns opinions (one node's, observations.py), the rule that makes verdicts of them (decision.py, pure),
operators' words and the state machine that joins them (store.py). Opinions ride on the members' beats. It
must never act on a verdict, hold a socket, a clock or a lock: the core hears of verdicts and its module
decides.
"""

"""Verdicts: what the whole fleet holds to be so, from what its nodes saw.

Owns opinions (one node's, opinions.py), the rule that makes verdicts of them (decide.py, pure), operators'
words and the state machine that joins them (board.py). Opinions ride on the members' beats. It must never act
on a verdict, hold a socket, a clock or a lock: the core hears of verdicts and its module decides.
"""

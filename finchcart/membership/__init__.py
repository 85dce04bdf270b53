"""Membership: which nodes of the fleet live, as far as can be known.

Owns the view that limits, verdicts and claims share: rows that the members write of themselves (messages.py),
the verdict that is drawn from them (view.py) and the state machine that spreads rows and measures links
(member.py). It must never know what the view is used for, nor hold a socket, a clock or a lock: the driver is
finchcart/net/datagrams.py, on the virtual clock finchcart/fault_injection/virtual.py.
"""

"""Limits that hold for the whole fleet: what is shared out, by whom, and until when.

Owns the limits and their bounds (limits.py), the division among those that want (division.py), the planners
who elect one of them to share out (planner.py) and the part that a node holds (holder.py). State machines and
pure functions: it must never hold a socket, a clock or a lock, nor count calls: that is
finchcart/node/limiters.py's.
"""

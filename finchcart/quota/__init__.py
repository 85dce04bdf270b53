"""Limits that hold for the whole fleet: how they are shared, by whom, and until when.

Owns the limits and their bounds (limits.py), the fair shares of those that want them (fair_share.py), the
planners, who elect a leader (leader_election.py) that allocates strict limits (allocator.py, planner.py), the
leases that a node holds (lease_holder.py, held_lease.py), and the limits that each node takes by its own view
of the members (local_limits.py); both keep a table by limit (limit_table.py). State machines and pure
functions: it must never hold a socket, a clock or a lock, nor count calls: that is the node's.
"""

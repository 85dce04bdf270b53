"""Quota: limits that hold for the whole fleet, allocated to nodes for a time.

Owns the limits and their bounds (limits.py), fair shares by demand (fair_share.py), the planners
(planner.py), who elect a leader (leader_election.py, acceptor.py) that allocates strict limits (allocator.py,
allocation_targets.py, holder_records.py), the leases that a node holds (lease_holder.py, held_lease.py), and
the limits that each node takes by its own view of the members (local_limits.py); both keep a table by limit
(limit_table.py). State machines and pure functions: it must never hold a socket, a clock or a lock, nor count
calls: that is the node's.
"""

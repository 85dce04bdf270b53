"""Limits that hold for the whole fleet, divided among its nodes by allocations that expire.

limits.py contains the limits and their bounds, fair_share.py their max-min fair division by demand. The
planners (planner.py) elect a leader (leader_election.py, acceptor.py), which allocates the strict limits
(allocator.py, allocation_targets.py, holder_records.py). Each node has a lease holder that requests leases of
the strict limits (lease_holder.py, held_lease.py), and computes its own allocations of the loose limits from
its view of the members (local_limits.py). Lease holders and loose limits both keep a table by limit
(limit_table.py).

All modules are state machines or pure functions. They must not use a socket, a clock or a lock, and must not
count calls: the node does that.
"""

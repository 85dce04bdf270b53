"""Membership: track which nodes of the fleet are alive.

This package maintains the membership view that quota, consensus and key leases share. Each member writes a
record of itself (messages.py, records.py); failure detection decides which members are alive (links.py,
view.py, failure_detection.py); heartbeats, gossip and anti-entropy spread the records (heartbeats.py,
gossip.py, anti_entropy.py). The state machine in member.py combines these parts.

The package does not depend on what the view is used for, and holds no socket, clock or lock. The driver that
provides them is finchcart/net/datagrams.py; on the virtual clock it is
finchcart/fault_injection/virtual_time/driver.py.
"""

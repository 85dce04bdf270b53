"""Membership: which nodes of the fleet are alive, as far as can be known.

Owns the view that quota, consensus and key leases share: the records that members write of themselves
(messages.py, records.py), failure detection (links.py, view.py, failure_detection.py) and how it all spreads
(heartbeats.py, gossip.py, anti_entropy.py), joined by the state machine in member.py. It must never know
what the view is used for, nor hold a socket, a clock or a lock: the driver is finchcart/net/datagrams.py, on
the virtual clock finchcart/fault_injection/virtual_time/driver.py.
"""

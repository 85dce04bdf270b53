"""Fleet: what membership, quota, consensus and key leases share.

Owns the datagram codec, the inputs and effects that all state machines of a fleet take and emit, the base of
those that only exchange messages, and lease arithmetic. It must never know any of the four packages, nor hold
a socket, a clock or a lock.
"""

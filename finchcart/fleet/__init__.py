"""Fleet: the code that membership, quota, consensus and key leases share.

The package contains the datagram codec, the inputs and effects of all state machines of a fleet, the base
class of state machines that only exchange messages, and lease arithmetic. It must not import any of the four
packages, and holds no socket, clock or lock.
"""

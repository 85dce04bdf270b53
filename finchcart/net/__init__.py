"""The sockets, threads and read buffers of a node, and its clock.

This package owns every socket of the node. It must never decide anything about an RPC or hold the node's
state.
"""

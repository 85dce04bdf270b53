"""Codecs and framing of the platform's protocols, and what can happen to a connection.

Plain types and pure functions, shared by the node's core and by the sockets below it. It must never hold a
socket, a thread or the state of a node.
"""

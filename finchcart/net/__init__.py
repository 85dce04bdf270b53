"""Sockets, threads, buffers and limits of the real node, and the line protocols of its other parties.

Owns every socket. It must never decide anything about an RPC or hold a node's state.
"""

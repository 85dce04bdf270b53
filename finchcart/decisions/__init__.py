"""The decisions of one node about its RPCs: which it admits, runs, rejects and fails.

Pure state and decisions: no I/O, no lock, no clock. It must never know a protocol, a thread or a host.
"""

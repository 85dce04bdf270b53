"""Fault injection: many processes of the program with faults between them, and the same on a virtual clock.

Owns scripts, the network between members, the processes of a run, and the checker that knows the truth. It
must never be needed by a node that serves, reach beyond loopback, or leave a process behind.
"""

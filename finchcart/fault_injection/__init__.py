"""Fault injection: runs a fleet of processes under faults, as real processes or on a virtual clock.

This package owns the scripts of such runs, the simulated network between members, the processes of a run, and
the checker that compares what the fleet did with the faults that were injected. A serving node must never
depend on this package, and a run must never use addresses beyond loopback or leave a process behind.
"""

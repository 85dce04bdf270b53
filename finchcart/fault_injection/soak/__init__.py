"""Soak tests: unmodified nodes under faults of links, clocks, system calls and signals."""

"""Real processes of a run: child processes, loopback addresses, configurations, faults inside a process."""

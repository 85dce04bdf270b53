"""Support for tests with real processes: child processes, loopback addresses, node configurations, faults."""

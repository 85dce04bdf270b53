"""Benchmarks of nodes and of the fault-injection simulations; see README.md."""

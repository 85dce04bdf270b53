"""Benchmarks of nodes, and of the simulations of fault injection; see README.md."""

"""Simulated peers of a node: worker pool, store, registry, clients and a load generator.

The peers are test doubles for examples, tests and fault injection. They are written from the description of
the protocols and are independent of a node's decisions. Code of a node must never import this package.
"""

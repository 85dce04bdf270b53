"""Simulated peers of a node: worker pool, store, registry, clients and a load generator.

Owns test doubles written from the protocol's pages, for examples, tests and fault injection. It must never
be imported by a node, nor know how a node decides.
"""

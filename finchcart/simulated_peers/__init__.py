"""Stand-ins for the outside parties of nodes: worker pool, store, registry, dispatchers.

Owns models written from the protocol's pages, for examples, tests and trials. It must never be imported by a
node, nor know how a node decides.
"""

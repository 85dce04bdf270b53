"""The client of the worker pool: its connection, commands, notices and gauges.

This package owns everything that the node knows about its worker pool. It must never decide about an RPC: it
sends the commands that the core passes to it, and reports the messages of the worker pool. `WorkerPoolClient`
in client.py combines the other modules; read it first.
"""

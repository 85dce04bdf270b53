"""The worker pool's client: its connection, commands, notices and gauges.

Owns all that the node knows of its worker pool. It must never decide about an RPC: it sends the commands that
it is given, and reports what the worker pool sends. Begin with client.py, which joins the other modules.
"""

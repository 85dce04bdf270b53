"""The simulator adapter: serves instances of the decision module over the simulator's line protocol.

The command that starts the adapter is finchcart/wirehost.py.
"""

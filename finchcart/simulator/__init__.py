"""The simulator adapter: instances of the decision module behind the simulator's line protocol.

Its start command is finchcart/wirehost.py.
"""

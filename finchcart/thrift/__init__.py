"""The frontend for dispatchers, which send RPCs as framed Thrift in the strict binary protocol.

binary_protocol.py reads and writes Thrift values, codec.py the messages of dispatchers; fields.py validates
the fields of an RPC; frontend.py handles each message; dispatcher_connections.py and connection_*.py manage
the dispatchers' connections. This package must never decide about an RPC, and must access the core's state
only through the contract in finchcart/node/frontend.py.
"""

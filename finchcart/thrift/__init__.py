"""The frontend that dispatchers speak to: framed Thrift in the strict binary protocol.

Owns the dispatchers' connections: codec.py their bytes, messages.py what they say, fields.py the ranges of an
RPC's fields, frontend.py what a message means, connection_*.py the connections' state. It must never decide
about an RPC, nor touch the core's state but through finchcart/node/frontend.py.
"""

"""The front that dispatchers speak to: framed Thrift in the strict binary protocol.

Owns the dispatchers' connections: codec.py their bytes, fields.py what an RPC's fields may say, front.py
their state. It must never decide about an RPC, nor touch the core's state but through
finchcart/node/frontend.py.
"""

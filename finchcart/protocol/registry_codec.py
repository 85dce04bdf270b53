"""The registry's protocol: a datagram from the node, and no answer.

Owns the bytes of that datagram.
"""


def encode_registration(name: str, is_healthy: bool) -> bytes:
    """Return the report by which the registry learns whether the node is to get requests."""
    return f"HERE {name} {'on' if is_healthy else 'off'}".encode()

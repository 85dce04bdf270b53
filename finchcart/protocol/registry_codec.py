"""Codec of the registry's protocol: one datagram from the node, which the registry does not answer."""


def encode_registration(name: str, is_healthy: bool) -> bytes:
    """Return the report that tells the registry whether the node should receive requests."""
    return f"HERE {name} {'on' if is_healthy else 'off'}".encode()

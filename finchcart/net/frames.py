"""What a codec is to the links that read with it.

Owns the one error of all codecs. A codec is a function `take(data, at, longest)`: `data` are the bytes read
so far, `longest` the most that a message may take; it returns the first whole message from `at` on with the
place where the next one begins, or None until there is one, and must never raise anything but `Malformed`.
"""


class Malformed(Exception):
    """Bytes that are no message of the protocol; the text says why. The peer is to blame."""

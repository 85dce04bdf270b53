"""What a codec is to the links that read with it.

Owns the one error of all codecs, and their form. A codec is two functions without state, which raise nothing
but `Malformed`, whatever the bytes. `frame(data, at, longest)`: `data` are the bytes read so far, `longest`
the most that a message may take; it returns where the first whole message from `at` on ends, or None until
there is one. It is called by the link's reader and looks at no more than it must. `message(data, longest)`
reads one such message; it is called by the one thread that feeds the core, many in one turn.
"""


class Malformed(Exception):
    """Bytes that are no message of the protocol; the text says why. The peer is to blame."""


class Codec:
    """A pair of functions, as above."""

    def __init__(self, frame, message):
        self.frame, self.message = frame, message

    def take(self, data, at, longest):
        """The first whole message from `at` on with the place where the next begins, or None."""
        end = self.frame(data, at, longest)
        return None if end is None else (self.message(data[at:end], longest), end)

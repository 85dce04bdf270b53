"""What a codec is to the links that read with it.

Owns the form of all codecs. A codec is two functions without state, which raise nothing but `ProtocolError`,
whatever the bytes. `frame(data, at, longest)`: `data` are the bytes read so far, `longest` the most that a
message may take; it returns where the first whole message from `at` on ends, or None until
there is one. It is called by the link's reader and looks at no more than it must. `message(data)`
reads one such message; it is called by the one thread that feeds the core, many in one turn.
"""

from collections.abc import Callable
from typing import NamedTuple


class Codec(NamedTuple):
    """The pair, as above."""

    frame: Callable
    message: Callable

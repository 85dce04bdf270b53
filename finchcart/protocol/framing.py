"""What a codec is to the connections that read with it.

Owns the form of all codecs. A codec is a pair of functions without state, which raise nothing but
`ProtocolError`, whatever the bytes.
"""

from collections.abc import Callable
from typing import NamedTuple

from finchcart.protocol.messages import Message


class Codec(NamedTuple):
    """How one protocol's messages are found among the bytes of a connection, and read.

    `find_frame_end(data, start, max_size)` returns where the first complete message from `start` on ends, or
    None until there is one; a message takes `max_size` bytes at most. It is called by the connection's reader
    thread and looks at no more than it must.

    `decode(frame)` reads one such message. It is called by the one thread that feeds the core, for many
    messages in one turn.
    """

    find_frame_end: Callable[[bytes, int, int], int | None]
    decode: Callable[[bytes], Message]

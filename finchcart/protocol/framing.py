"""Defines the interface between a connection and the codec of its protocol.

A codec is a pair of stateless functions, which raise only `ProtocolError`, whatever bytes they read.
"""

from collections.abc import Callable
from typing import NamedTuple

from finchcart.protocol.messages import Message


class Codec(NamedTuple):
    """The functions that split the bytes of a connection into frames and decode a frame's message.

    `find_frame_end(data, start, max_size)` returns the end of the frame that begins at `start`, or None if
    the frame is incomplete. A frame has at most `max_size` bytes. The function is called by the connection's
    reader thread and examines only the bytes that it needs.

    `decode(frame)` returns the message of a frame. The function is called by the one thread that feeds the
    core, for many frames in each turn of the event loop.
    """

    find_frame_end: Callable[[bytes, int, int], int | None]
    decode: Callable[[bytes], Message]

"""The forms of the log on stderr: text lines and JSON lines.

Owns how a record is written. It must never drop a record or a field but where it can't be written.
"""

from collections.abc import Callable
from datetime import UTC
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from finchcart.log_sink import LogSink
from finchcart.net.clock import boot_clock
from finchcart.node_process import log_as_text

if TYPE_CHECKING:
    from loguru import Message


def log_as_json() -> None:
    """Log one object a line: `t_us` on the boot clock, time, level, message, and the fields of the line."""
    encode = msgspec.json.Encoder().encode
    sink = LogSink()

    def write(message: "Message") -> None:
        record = message.record
        line = {
            "t_us": boot_clock(),
            "time": record["time"].astimezone(UTC).isoformat(),
            "level": record["level"].name,
            "message": record["message"],
            **record["extra"],
        }
        if record["exception"]:
            line["exception"] = str(message)
        sink(encode(line).decode() + "\n")

    logger.remove()
    logger.add(write, format="{message}", backtrace=False, diagnose=False)


# By the values of the option --log.
LOG_FORMATS: dict[str, Callable[[], None]] = {"text": log_as_text, "json": log_as_json}

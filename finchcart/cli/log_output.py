"""The formats of the log on standard error: text lines and JSON lines.

A record or a field must never be dropped, unless it cannot be written.
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
    """Write the log as JSON lines.

    Each line has `t_us` (microseconds on the boot clock), time, level, message and the record's extra fields.
    """
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


# The keys are the values of the option --log.
LOG_FORMATS: dict[str, Callable[[], None]] = {"text": log_as_text, "json": log_as_json}

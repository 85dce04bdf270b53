"""The two forms of the log on stderr: text lines and JSON lines.

Owns how a record is written. It must never drop a record or a field.
"""

import sys
from datetime import UTC

import msgspec
from loguru import logger

from finchcart.net.clock import boot_clock


def json_log():
    """One object a line: `t_us` on the boot clock, time, level, message, and the fields of the line."""
    encode = msgspec.json.Encoder().encode

    def write(message):
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
        sys.stderr.buffer.write(encode(line) + b"\n")
        sys.stderr.buffer.flush()

    logger.remove()
    logger.add(write, format="{message}", backtrace=False, diagnose=False)

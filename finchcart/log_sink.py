"""The sink of the log: writes lines to standard error, which may temporarily be full, closed or broken.

The sink counts the lines that it could not write. It must never raise an exception or stop a node, since
losing a log line is better than failing an RPC.
"""

import os

STDERR_DESCRIPTOR = 2


class LogSink:
    """Writes whole lines to a file descriptor, and the number of lost lines once a write succeeds again."""

    def __init__(self, descriptor: int = STDERR_DESCRIPTOR) -> None:
        self.lost_lines = 0
        self._descriptor = descriptor

    def __call__(self, line: str) -> None:
        """Write one line, or count it as lost if the write fails."""
        if self.lost_lines and self._write(f"{self.lost_lines} log lines could not be written\n"):
            self.lost_lines = 0
        if not self._write(line):
            self.lost_lines += 1

    def _write(self, text: str) -> bool:
        data = text.encode(errors="replace")
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
        except OSError:
            return False
        return True

"""Where log lines go: standard error, which may be full, closed or broken for a while.

Owns the count of lines that could not be written. It must never raise, nor hold a node up: a log line that is
lost costs nobody an RPC.
"""

import os

STANDARD_ERROR = 2


class LogSink:
    """Writes whole lines to a file descriptor, and the count of lost ones once writing works again."""

    def __init__(self, descriptor: int = STANDARD_ERROR) -> None:
        self.lost = 0
        self._descriptor = descriptor

    def __call__(self, line: str) -> None:
        """Write one line, or count it as lost."""
        if self.lost and self._write(f"{self.lost} log lines could not be written\n"):
            self.lost = 0
        if not self._write(line):
            self.lost += 1

    def _write(self, text: str) -> bool:
        data = text.encode(errors="replace")
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
        except OSError:
            return False
        return True

"""Entry point of `python -m finchcart` and of the command `finchcart`.

With arguments it runs the command line in finchcart/cli/. Without arguments it runs one node, which must not
import any module of the command line or of a fleet.
"""

import os
import signal
import sys

# Signals are handled before the other imports, which take a while. A signal to drain that arrives during the
# imports ends the process immediately, since no connection is open yet. A signal to read the configuration
# again is ignored, since the configuration has not been read yet.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
for number in (signal.SIGTERM, signal.SIGINT):
    signal.signal(number, lambda *_: os._exit(0))

from finchcart.node_process import exit_process, run_node  # noqa: E402


def start() -> None:
    """Run the command that the arguments name, or a node, and end the process with the exit status."""
    if len(sys.argv) > 1:
        from finchcart.cli.commands import commands

        commands(prog_name="finchcart")
    exit_process(run_node())


if __name__ == "__main__":
    start()

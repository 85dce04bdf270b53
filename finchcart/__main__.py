"""The program: `python -m finchcart` and the command `finchcart`.

Owns nothing: with arguments it runs the command line, without them one node and nothing else, which
imports no part of the command line or of a fleet.
"""

import os
import signal
import sys

# Before the other imports, which take a while. A notice to leave that comes meanwhile ends the process
# immediately: nothing is open yet. One to read the configuration again is ignored: it is not read yet.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
for number in (signal.SIGTERM, signal.SIGINT):
    signal.signal(number, lambda *_: os._exit(0))

from finchcart.node_process import exit_process, run_node  # noqa: E402


def start() -> None:
    """Run what the arguments ask for, and end the process with its status."""
    if len(sys.argv) > 1:
        from finchcart.cli.commands import commands

        commands(prog_name="finchcart")
    exit_process(run_node())


if __name__ == "__main__":
    start()

"""The program: `python -m finchcart` and the command `finchcart`.

Owns nothing: with arguments the command line has the word, without there is one node and nothing else, which
imports no part of the command line or of a fleet.
"""

import sys

from finchcart.node_process import exit_process, run_node


def start() -> None:
    """Run what the arguments ask for, and end the process with its status."""
    if len(sys.argv) > 1:
        from finchcart.cli.commands import commands

        commands(prog_name="finchcart")
    exit_process(run_node())


if __name__ == "__main__":
    start()

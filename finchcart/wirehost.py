"""Start command of the simulator adapter, which reads standard input and writes standard output.

Run it as `python -m finchcart.wirehost`. This module only sets up the streams and returns the exit code; the
adapter itself is in finchcart/simulator/.
"""

import sys
from io import TextIOWrapper
from typing import cast

from finchcart.simulator.codec import WireError
from finchcart.simulator.host import serve

EXIT_BAD_INPUT = 2


def main() -> int:
    """Serve the simulator until the input ends; return the exit code."""
    cast(TextIOWrapper, sys.stdin).reconfigure(encoding="utf-8")
    cast(TextIOWrapper, sys.stdout).reconfigure(encoding="utf-8", newline="\n")
    try:
        serve(sys.stdin, sys.stdout)
    except (WireError, UnicodeDecodeError) as error:
        print(f"finchcart.wirehost: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""A worker pool in a process of its own, which a case can kill.

It listens once its standard input says `listen`, which is its start. A line `over ID` tells it that a request
was answered or given up. It writes a line to standard output for each run that begins.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

from standins import Pool, Record


def main() -> None:
    """Serve until the process is killed."""
    port, work_s = int(sys.argv[1]), float(sys.argv[2])
    over: set[str] = set()
    pool = None
    print("waiting", flush=True)
    for line in sys.stdin:
        words = line.split()
        if words[0] == "over":
            over.add(words[1])
        elif pool is None:
            pool = Pool("p", port, work_s, Record(Path("/dev/stdout")), over.__contains__, is_new=True)
            print("listening", flush=True)


if __name__ == "__main__":
    main()

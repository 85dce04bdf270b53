"""Questions to a running process of a fleet, as one datagram each way.

Owns the socket of one question and its retries. It must never hold a view between questions.
"""

import random
import socket
import time

from finchcart.consensus import messages as sayings
from finchcart.membership import codec
from finchcart.membership import messages as base
from finchcart.quota import messages as shares


def query(where, words, question, timeout=2.0):
    """The view that answers `question`, of the messages of `words`; a lost one is asked again."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.connect(where)
        sock.settimeout(timeout / 8)
        for _ in range(8):
            try:
                sock.send(words.CODEC.encode("", question))
                said = words.CODEC.decode(None, sock.recv(65536))
            except (OSError, codec.DatagramError):
                continue
            if isinstance(said, words.StatusResponse) and said.number == question.number:
                return said.view
    raise TimeoutError(f"no answer from {where[0]}:{where[1]}")


def query_limits(where, timeout=2.0):
    """What a node or planner says of the limits."""
    return query(where, shares, shares.StatusRequest(random.SystemRandom().getrandbits(32)), timeout)


def query_consensus(where, timeout=2.0):
    """What a node holds of the fleet's verdicts, all pages."""
    number = random.SystemRandom().getrandbits(32)
    view = query(where, sayings, sayings.StatusRequest(number), timeout)
    for page in range(1, view["pages"]):
        view["verdicts"] += query(where, sayings, sayings.StatusRequest(number + page, page), timeout)[
            "verdicts"
        ]
    return view


def send_override(where, subject, value, seconds, why, timeout=2.0):
    """An operator's word, told to one node."""
    number = random.SystemRandom().getrandbits(32)
    return query(
        where, sayings, sayings.OverrideRequest(number, subject, value, int(seconds * 1e6), why), timeout
    )


def query_members(where, timeout=2.0):
    """The whole view of a running process, page by page; a page that is lost is asked for again."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.connect(where)
        end, parts, pages = time.monotonic() + timeout, {}, None
        number = random.SystemRandom().getrandbits(32)
        sock.settimeout(timeout / 8)
        while pages is None or len(parts) < pages:
            page = next(n for n in range(len(parts) + 1) if n not in parts)
            try:
                sock.send(base.CODEC.encode("", base.ViewRequest(number, page)))
                while True:
                    said = base.CODEC.decode(None, sock.recv(65536))
                    if isinstance(said, base.ViewPage) and said.number == number:
                        break
            except (TimeoutError, OSError, codec.DatagramError):
                if time.monotonic() > end:
                    raise TimeoutError(f"no answer from {where[0]}:{where[1]}") from None
                continue
            pages, parts[said.page] = said.page_count, said.view
        view = dict(parts[0])
        view["members"] = [member for n in range(1, pages) for member in parts[n]["members"]]
        return view

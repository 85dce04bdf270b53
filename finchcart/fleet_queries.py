"""Queries of the command line to a running process of a fleet.

A request and its response are one datagram each; a response with several pages takes one request per page.
This module owns the socket of a query and retries lost requests. It must never cache a response. All
functions raise TimeoutError if the process does not respond in time.
"""

import random
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from finchcart.consensus import messages as consensus
from finchcart.fleet.codec import DatagramError, MessageCodec
from finchcart.membership import messages as membership
from finchcart.quota import messages as quota

Address = tuple[str, int]
View = dict[str, Any]
NumberedRequest = quota.QuotaStatusRequest | consensus.ConsensusStatusRequest | consensus.OverrideRequest
ViewResponse = quota.QuotaStatusResponse | consensus.ConsensusStatusResponse

TIMEOUT_S = 2.0
MAX_ATTEMPTS = 8  # the timeout of a query is divided into this many equal attempts
MAX_DATAGRAM_BYTES = 65_536
MICROSECONDS_PER_SECOND = 1e6


def query_members(address: Address, timeout_s: float = TIMEOUT_S) -> View:
    """Return the members as a process sees them, from all pages of its response.

    A page whose request or response was lost is requested again.
    """
    give_up_at = time.monotonic() + timeout_s
    number = _random_request_number()
    pages: dict[int, View] = {}
    page_count = None
    with _connected_socket(address, timeout_s) as sock:
        while page_count is None or len(pages) < page_count:
            missing = next(page for page in range(len(pages) + 1) if page not in pages)
            try:
                page = _request_page(sock, number, missing)
            except (OSError, DatagramError):
                if time.monotonic() > give_up_at:
                    raise _no_response_error(address) from None
                continue
            page_count = page.page_count
            pages[page.page] = page.view
    view = dict(pages[0])
    view["members"] = [member for page in range(1, page_count) for member in pages[page]["members"]]
    return view


def query_limits(address: Address, timeout_s: float = TIMEOUT_S) -> View:
    """Return the fleet's limits as a node or planner knows them."""
    request = quota.QuotaStatusRequest(_random_request_number())
    return _query(address, quota.CODEC, request, quota.QuotaStatusResponse, timeout_s)


def query_consensus(address: Address, timeout_s: float = TIMEOUT_S) -> View:
    """Return the fleet's decisions as a node knows them, from all pages of its response."""
    number = _random_request_number()
    view = _query_consensus(address, consensus.ConsensusStatusRequest(number), timeout_s)
    for page in range(1, view["pages"]):
        request = consensus.ConsensusStatusRequest(number + page, page)
        view["verdicts"] += _query_consensus(address, request, timeout_s)["verdicts"]
    return view


def send_override(
    address: Address,
    subject: int,
    value: int,
    lifetime_s: float,
    reason: str,
    timeout_s: float = TIMEOUT_S,
) -> View:
    """Send an operator's override to a node, which gossips it to the other nodes.

    Return the node's response: whether it accepted the override, and the reason if it did not. A lifetime of
    0 revokes the override of the subject.
    """
    lifetime_us = int(lifetime_s * MICROSECONDS_PER_SECOND)
    request = consensus.OverrideRequest(_random_request_number(), subject, value, lifetime_us, reason)
    return _query_consensus(address, request, timeout_s)


def _query_consensus(
    address: Address, request: consensus.ConsensusStatusRequest | consensus.OverrideRequest, timeout_s: float
) -> View:
    return _query(address, consensus.CODEC, request, consensus.ConsensusStatusResponse, timeout_s)


def _query(
    address: Address,
    codec: MessageCodec[Any],
    request: NumberedRequest,
    response_type: type[ViewResponse],
    timeout_s: float,
) -> View:
    """Return the view in the response to a request, which is sent again if no response arrives."""
    with _connected_socket(address, timeout_s) as sock:
        for _ in range(MAX_ATTEMPTS):
            try:
                sock.send(codec.encode("", request))
                response = codec.decode(None, sock.recv(MAX_DATAGRAM_BYTES))
            except (OSError, DatagramError):
                continue
            if isinstance(response, response_type) and response.number == request.number:
                return response.view
    raise _no_response_error(address)


def _request_page(sock: socket.socket, number: int, page: int) -> membership.ViewPage:
    sock.send(membership.CODEC.encode("", membership.ViewRequest(number, page)))
    while True:
        response = membership.CODEC.decode(None, sock.recv(MAX_DATAGRAM_BYTES))
        if isinstance(response, membership.ViewPage) and response.number == number:
            return response


@contextmanager
def _connected_socket(address: Address, timeout_s: float) -> Iterator[socket.socket]:
    """Provide a connected socket whose read timeout leaves time for all attempts."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.connect(address)
        sock.settimeout(timeout_s / MAX_ATTEMPTS)
        yield sock


def _random_request_number() -> int:
    return random.SystemRandom().getrandbits(32)


def _no_response_error(address: Address) -> TimeoutError:
    host, port = address
    return TimeoutError(f"no response from {host}:{port}")

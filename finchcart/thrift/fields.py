"""Validates the fields of an RPC.

This module defines the range of each field, which is checked before the decision module receives the RPC. It
must never keep state, or accept a value that no dispatcher sends.

The fields by name: `c` method, `k` idempotency key, `i` name of the attempt, `f` number of the dispatcher,
`s` time at which the RPC was sent (Unix milliseconds), `p` shed rank, `r` present on a retry, `h` hint of the
service time (milliseconds), `m` memory (KB).
"""

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from finchcart.errors import InvalidRpcError
from finchcart.limits import Limits
from finchcart.node.methods import MethodInfo
from finchcart.node.rpc import RpcAttributes
from finchcart.node.wall_clock import Arrival

HEX_DIGITS = set("0123456789abcdef")
NAME_LENGTH = 16  # hex digits
MAX_KEY_LENGTH = 64  # characters
MAX_CALLER_LENGTH = 11  # digits
MAX_UNIX_MS = 1e14
MIN_MEMORY_KB = 1e-9
MAX_MEMORY_KB = 2000
MAX_QUOTED_CHARACTERS = 40  # a longer value of a field is cut in error messages
NO_SHED_RANK = -1  # stands for a missing shed rank
US_PER_MS = 1000


class ArrivalReader(Protocol):
    """Converts the Unix time of an RPC to the node's clock; see node/wall_clock.py."""

    def read_arrival(self, stamp: int, late_read_us: int) -> Arrival | None:
        """Return when an RPC of the current batch with this timestamp arrived; None if that is impossible."""

    def unix_now(self) -> int:
        """Return the Unix time in microseconds."""


class ReadRpc(NamedTuple):
    """The validated fields of an RPC."""

    name: str
    method: str
    body: bytes
    attributes: RpcAttributes


def read_number(
    fields: Mapping[str, str], name: str, low: float, high: float, default: float | None = None
) -> float:
    """Return the number in a field; return `default` if the field is missing.

    Raises:
        InvalidRpcError: the value is not a number, is less than `low`, or is not less than `high`; or the
            field is missing and there is no default.
    """
    text = fields.get(name)
    if text is None and default is not None:
        return default
    try:
        value = float(text or "")
    except ValueError:
        raise InvalidRpcError(f"field {name}={_quoted(text)}: expected a number") from None
    if not low <= value < high:
        raise InvalidRpcError(f"field {name}={_quoted(text)}: expected {low:.0f} to under {high:.0f}")
    return value


def read_rpc(
    fields: Mapping[str, str] | None,
    body: bytes | None,
    arrivals: ArrivalReader,
    limits: Limits,
    methods: Mapping[str, MethodInfo],
    connection: int,
) -> ReadRpc:
    """Return the RPC that a call carries.

    Raises:
        InvalidRpcError: a field is invalid. The message names the field, its value and the expected value.
    """
    if fields is None or body is None:
        raise InvalidRpcError("the call carries no fields or no body")
    if len(body) > limits.max_body_bytes:
        raise InvalidRpcError(f"body: {len(body)} bytes, {limits.max_body_bytes} at most")
    method = fields.get("c")
    if method is None or method not in methods:
        raise InvalidRpcError(f"field c={_quoted(method)}: no such method")
    info = methods[method]
    name = _read_name(fields)
    key = _read_key(fields) if info.is_keyed else None
    arrival = _read_arrival(fields, arrivals, info.late_read_us)
    caller = _read_caller(fields)
    shed_rank = read_number(fields, "p", 0, 1, NO_SHED_RANK)
    service_time_hint_ms = read_number(fields, "h", 0, limits.max_expected_run_us / US_PER_MS, 0)
    attributes = RpcAttributes(
        arrival.earliest,
        caller,
        key,
        is_retry="r" in fields,
        service_time_hint_us=int(service_time_hint_ms * US_PER_MS),
        memory_kb=read_number(fields, "m", MIN_MEMORY_KB, MAX_MEMORY_KB),
        shed_rank=None if shed_rank == NO_SHED_RANK else shed_rank,
        connection=connection,
        arrival_uncertainty_us=arrival.latest - arrival.earliest,
    )
    return ReadRpc(name, method, body, attributes)


def _quoted(text: str | None) -> str:
    return repr(str(text)[:MAX_QUOTED_CHARACTERS])


def _read_name(fields: Mapping[str, str]) -> str:
    name = fields.get("i", "")
    if len(name) != NAME_LENGTH or not HEX_DIGITS.issuperset(name):
        raise InvalidRpcError(f"field i={_quoted(name)}: expected 16 hex digits, new with every try")
    return name


def _read_key(fields: Mapping[str, str]) -> str:
    key = fields.get("k")
    if not key or len(key) > MAX_KEY_LENGTH:
        raise InvalidRpcError("field k is missing, or too long")
    return key


def _read_caller(fields: Mapping[str, str]) -> str:
    caller = fields.get("f", "")
    if not (caller.isdigit() and len(caller) <= MAX_CALLER_LENGTH):
        raise InvalidRpcError(f"field f={_quoted(caller)}: expected the number of a dispatcher")
    return caller


def _read_arrival(fields: Mapping[str, str], arrivals: ArrivalReader, late_read_us: int) -> Arrival:
    text = fields.get("s", "")
    if not text.isdigit():
        raise InvalidRpcError(f"field s={_quoted(text)}: expected Unix milliseconds")
    stamp = int(read_number(fields, "s", 0, MAX_UNIX_MS)) * US_PER_MS
    arrival = arrivals.read_arrival(stamp, late_read_us)
    if arrival is None:
        raise InvalidRpcError(
            f"field s={stamp // US_PER_MS}: too far from {arrivals.unix_now() // US_PER_MS}"
        )
    return arrival

"""Codec of the simulator's line protocol: parses lines into events and formats actions as lines.

A line is the name of a message followed by `name=value` fields, all separated by tabs. All names of the
protocol are defined in this module and used nowhere else, except the names of settings, which are defined in
finchcart/settings.py. The codec must never make decisions, and it does not check the order of messages:
host.py does.
"""

from collections.abc import Callable
from typing import NamedTuple

from finchcart.decisions.gauges import Gauges
from finchcart.decisions.outcome import Outcome
from finchcart.errors import ProtocolError
from finchcart.settings import parse_whole_number
from finchcart.simulator.events import (
    BatchEnded,
    BatchStarted,
    CallAwaited,
    CallEnded,
    CallerGone,
    DrainNotice,
    Event,
    InstanceKilled,
    InstanceStarted,
    RpcArrived,
    RunEnded,
    TimerFired,
)

OUTCOMES = {
    200: Outcome.OK,
    502: Outcome.ERROR,
    429: Outcome.REJECTED,
    408: Outcome.TIMEOUT,
    521: Outcome.UNREACHABLE,
    520: Outcome.CONNECTION_LOST,
    444: Outcome.STOPPED,
    409: Outcome.NOT_STARTED,
}
FLAG_VALUES = {"1": True, "0": False, "true": True, "false": False}
ABSENT_ID = "0"
HEX_DIGITS = frozenset("0123456789abcdef")
ID_LENGTH = 16
TIMER_NAME = "sweep"  # each instance has one timer, always of this name
MAX_QUOTED_LENGTH = 40  # maximum number of characters of a line that an error message quotes
MAX_ERROR_LENGTH = 120  # maximum number of characters of an exception that is reported to the simulator
FEEDBACK_DECIMALS = 4  # decimal places of a shed level or credit


class WireError(ProtocolError):
    """An invalid line; the text names the message, the field and the expected value."""


# ---- Parsing


class FieldType(NamedTuple):
    """How the text of a field is parsed; `parse` raises ValueError or KeyError for invalid text."""

    parse: Callable[[str], object]
    expected: str


class Field(NamedTuple):
    """A field of a message: its key in the protocol, its type, and the event's field that receives it.

    The value of a field whose `event_field` is None is validated and then dropped.
    """

    key: str
    type: FieldType
    event_field: str | None


class MessageFormat(NamedTuple):
    """How a message is parsed into an event.

    An optional field that is absent or empty keeps the default of the event's field.
    """

    event: Callable[..., Event]
    required: tuple[Field, ...]
    optional: tuple[Field, ...] = ()


def _parse_id(text: str) -> str:
    if len(text) != ID_LENGTH or not HEX_DIGITS.issuperset(text):
        raise ValueError(text)
    return text


def _parse_optional_id(text: str) -> str | None:
    return None if text == ABSENT_ID else _parse_id(text)


def _parse_gauges(text: str) -> Gauges:
    pairs = (part.partition(":") for part in text.split(",") if part)
    return Gauges.from_readings({name: float(value) for name, _, value in pairs})


def _parse_outcome(text: str) -> Outcome:
    return OUTCOMES[int(text)]


WHOLE_NUMBER = FieldType(parse_whole_number, "a whole number")
NUMBER = FieldType(float, "a number")
TEXT = FieldType(str, "text")
FLAG = FieldType(FLAG_VALUES.__getitem__, "1 or 0")
ID = FieldType(_parse_id, "16 hex digits")
OPTIONAL_ID = FieldType(_parse_optional_id, "16 hex digits or 0")
OUTCOME = FieldType(_parse_outcome, "a known outcome code")
GAUGES = FieldType(_parse_gauges, "name:value pairs")

INSTANCE = Field("who", WHOLE_NUMBER, "instance")
RPC = Field("call", ID, "rpc")
OUTCOME_FIELDS = (INSTANCE, RPC, Field("how", OUTCOME, "outcome"))
DURATION = Field("spent", WHOLE_NUMBER, "duration")

MESSAGE_FORMATS = {
    "CREATE": MessageFormat(InstanceStarted, (INSTANCE, Field("randomSeed", WHOLE_NUMBER, "seed"))),
    "KILL": MessageFormat(InstanceKilled, (INSTANCE,)),
    "KNOCK": MessageFormat(
        RpcArrived,
        (INSTANCE, RPC, Field("profile", TEXT, "method"), Field("footprint", NUMBER, "memory_kb")),
        (
            Field("neighbour", WHOLE_NUMBER, "caller"),
            Field("place", NUMBER, "shed_rank"),
            Field("isWrite", FLAG, None),
            Field("repeats", OPTIONAL_ID, "first_rpc"),
            Field("estimate", WHOLE_NUMBER, "service_time_hint"),
            Field("expires", WHOLE_NUMBER, "expires_at"),
            Field("againByClient", FLAG, "is_retry"),
            Field("backlogTime", WHOLE_NUMBER, "waited"),
        ),
    ),
    "WOUND_UP": MessageFormat(RunEnded, OUTCOME_FIELDS, (DURATION,)),
    "LEFT": MessageFormat(CallerGone, (INSTANCE, RPC)),
    "WANTS_CALL": MessageFormat(CallAwaited, (INSTANCE, RPC)),
    "DOWNSTREAM": MessageFormat(CallEnded, OUTCOME_FIELDS, (DURATION,)),
    "DRAIN": MessageFormat(DrainNotice, (INSTANCE, Field("expires", WHOLE_NUMBER, "kill_at"))),
    "WAKE": MessageFormat(
        TimerFired, (INSTANCE, Field("name", TEXT, None)), (Field("feedback", GAUGES, "gauges"),)
    ),
    "TICK": MessageFormat(BatchStarted, (Field("wall", WHOLE_NUMBER, "now"),)),
    "END": MessageFormat(BatchEnded, ()),
}
MESSAGE_NAMES = {message_format.event: message for message, message_format in MESSAGE_FORMATS.items()}


def parse_line(line: str) -> Event:
    """Return the event that a line describes. Unknown fields are ignored.

    Raise WireError for an invalid line.
    """
    message, *parts = line.split("\t")
    if message not in MESSAGE_FORMATS:
        raise WireError(
            f"message {message[:MAX_QUOTED_LENGTH]!r}: expected one of {', '.join(MESSAGE_FORMATS)}"
        )
    event, required, optional = MESSAGE_FORMATS[message]
    raw = _split_parts(message, parts)
    fields: dict[str, object] = {}
    for field in required:
        if field.key not in raw:
            raise WireError(f"{message}: field {field.key} is missing, expected {field.type.expected}")
        _parse_field(message, field, raw, fields)
    for field in optional:
        if raw.get(field.key, "") != "":
            _parse_field(message, field, raw, fields)
    if event is InstanceStarted:
        fields["settings"] = raw
    return event(**fields)


def _split_parts(message: str, parts: list[str]) -> dict[str, str]:
    raw = {}
    for part in parts:
        name, separator, value = part.partition("=")
        if not separator:
            raise WireError(f"{message}: part {part[:MAX_QUOTED_LENGTH]!r}: expected name=value")
        raw[name] = value
    return raw


def _parse_field(message: str, field: Field, raw: dict[str, str], fields: dict[str, object]) -> None:
    key, field_type, event_field = field
    text = raw[key]
    try:
        value = field_type.parse(text)
    except (ValueError, KeyError):
        found = f"{key}={text[:MAX_QUOTED_LENGTH]!r}"
        raise WireError(f"{message}: field {found}: expected {field_type.expected}") from None
    if event_field is not None:
        fields[event_field] = value


# ---- Errors in the order of messages


def out_of_order_error(event: Event, batch_is_open: bool) -> WireError:
    """Return the error for a message that is invalid inside a batch, or outside one."""
    expected = "an event or END" if batch_is_open else "TICK"
    return WireError(f"{MESSAGE_NAMES[type(event)]}: expected {expected} here")


def unknown_instance_error(event: Event, instance: int) -> WireError:
    """Return the error for an event that names an instance that was not started."""
    return WireError(
        f"{MESSAGE_NAMES[type(event)]}: field who={instance}: expected an instance that was started"
    )


def unfinished_batch_error() -> WireError:
    """Return the error for an input that ends inside a batch."""
    return WireError("the input ends inside a batch, expected END")


# ---- Formatting: each function returns one line of the response to a batch. The functions and their
# arguments correspond to the methods of `Port` (finchcart/decisions/port.py).

RESPONSE_END = "FINISHED"


def run(instance: int, rpc: str) -> str:
    """Return the line that starts or resumes a run."""
    return f"TAKE\twho={instance}\tcall={rpc}"


def stop(instance: int, rpc: str) -> str:
    """Return the line that stops or pauses a run."""
    return f"STOP\twho={instance}\tcall={rpc}"


def reject(instance: int, rpc: str, retry_after: int, do_not_retry: bool) -> str:
    """Return the line that rejects an RPC; the rejection tells the caller that the RPC never ran."""
    advice = f"\twait={retry_after}" if retry_after else ""
    request = "\tlast=1" if do_not_retry else ""
    return f"BUSY\twho={instance}\tcall={rpc}{advice}{request}"


def fail(instance: int, rpc: str) -> str:
    """Return the line that responds to an RPC with a failure."""
    return f"END_FAILED\twho={instance}\tcall={rpc}"


def call(instance: int, rpc: str, timeout: int) -> str:
    """Return the line that makes the call of a run to the dependency."""
    return f"CALL_DEP\twho={instance}\tcall={rpc}\tlimit={timeout}"


def degrade(instance: int, rpc: str) -> str:
    """Return the line that lets a run continue without its call to the dependency."""
    return f"SKIP\twho={instance}\tcall={rpc}"


def answer_duplicate(instance: int, rpc: str) -> str:
    """Return the line that responds to a duplicate with the result of the first RPC with its key."""
    return f"SHARE\twho={instance}\tcall={rpc}"


def store_key(instance: int, rpc: str, ttl: int) -> str:
    """Return the line that stores an idempotency key for `ttl` microseconds."""
    return f"PIN\twho={instance}\tcall={rpc}\tkeepFor={ttl}"


def evict_key(instance: int, rpc: str) -> str:
    """Return the line that evicts an idempotency key."""
    return f"DROP_KEY\twho={instance}\tcall={rpc}"


def set_health(instance: int, healthy: bool, cached: bool) -> str:
    """Return the line that sets the response to health checks."""
    return f"READINESS\twho={instance}\twant={int(healthy)}\tstored={int(cached)}"


def publish_feedback(instance: int, value: float) -> str:
    """Return the line that publishes a shed level or a credit, which all responses then carry."""
    return f"HINT_OUT\twho={instance}\tx={round(value, FEEDBACK_DECIMALS)}"


def set_idle_timeout(instance: int, timeout: int) -> str:
    """Return the line that sets the idle timeout of connections, in microseconds."""
    return f"IDLE_LIMIT\twho={instance}\tkeepFor={timeout}"


def set_timer(instance: int, delay: int) -> str:
    """Return the line that sets the instance's timer to fire after `delay` microseconds."""
    return f"NOTIFY_ME\twho={instance}\tfromNow={delay}\tname={TIMER_NAME}"


def log(instance: int, text: str) -> str:
    """Return the line that carries a log message."""
    return f"TRACE\twho={instance}\twhat={text}"


def instance_failed(instance: int, error: Exception) -> str:
    """Return the line that reports a failed instance, which ignores all further events."""
    text = f"{type(error).__name__}: {error}"[:MAX_ERROR_LENGTH].replace("\n", " ")
    return f"BROKEN\twho={instance}\twhat={text}"

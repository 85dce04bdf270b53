"""A simulated client, which sends a few RPCs to a node and prints the answers.

    .venv/bin/python -m finchcart.simulated_peers.client example/config.json look-up "which bird is that"
    .venv/bin/python -m finchcart.simulated_peers.client example/config.json book "seat 12" "seat 12"

Each text is the body of one RPC. If the method takes idempotency keys, the key is derived from the text, so
equal texts are attempts of the same RPC.
"""

import hashlib
import json
import secrets
import socket
import sys
import time
from enum import StrEnum
from pathlib import Path
from typing import NamedTuple

from finchcart.errors import ProtocolError
from finchcart.simulated_peers.server import Address, parse_address
from finchcart.thrift import codec as thrift
from finchcart.thrift.binary_protocol import (
    BOOL,
    CALL,
    EXCEPTION,
    FIELD,
    I32,
    LENGTH,
    MAP,
    ONEWAY,
    STRING,
    Reader,
    ThriftValue,
    decode_text_map,
    encode_message,
)

TIMEOUT_S = 10


class ClientOutcome(StrEnum):
    """Outcome of an RPC; the values are written to result files."""

    OK = "ok"
    NOT_GOOD = "not good"
    REJECTED = "pushed back"
    FAILED = "aborted"
    EXCEPTION = "exception"
    ONEWAY = "oneway"  # a message from the node that is not an answer
    NO_ANSWER = "no answer"
    NO_CONNECTION = "no connection"


class Answer(NamedTuple):
    """One message from a node."""

    name: str  # name of the answered method, or "closing"
    sequence: int
    outcome: ClientOutcome
    body: bytes  # result of the RPC, or the text of an exception
    fields: dict[str, str]


class Client:
    """One connection to a node."""

    def __init__(self, address: Address, source: Address | None = None) -> None:
        self.sock = socket.create_connection(address, timeout=TIMEOUT_S, source_address=source)
        self.sequence = 0
        self.submitted_bytes = 0  # total size of the RPCs that were sent completely
        self.received_bytes = 0

    def submit(self, method: str, body: bytes, key: str | None = None, **extra_fields: str) -> int:
        """Send an RPC, with an idempotency key if one is given; return its sequence number.

        `extra_fields` are added to the header fields of the RPC, and override those of the same name.
        """
        fields = {
            "c": method,
            "i": secrets.token_hex(8),
            "s": str(time.time_ns() // 1_000_000),
            "f": "1",
            "h": "50.00",
            "m": "24.5",
            "p": "0.5000",
            **extra_fields,
        }
        if key:
            fields["k"] = key
        self.sequence += 1
        call = thrift.submit_call(self.sequence, fields, body)
        self.sock.sendall(call)
        self.submitted_bytes += len(call)
        return self.sequence

    def heartbeat(self) -> int:
        """Send a health check; return its sequence number."""
        self.sequence += 1
        arguments = FIELD.pack(BOOL, 1) + b"\1"
        self.sock.sendall(encode_message(CALL, b"heartbeat", self.sequence, arguments + b"\0"))
        return self.sequence

    def answer(self) -> Answer:
        """Return the next message from the node.

        Raises:
            EOFError: the node closed the connection.
        """
        reader = Reader(self._receive(LENGTH.unpack(self._receive(4))[0]))
        kind = reader.read_integer(I32) & 0xFF
        name = reader.read_string().decode()
        sequence = reader.read_integer(I32)
        arguments = reader.read_struct()
        if kind == EXCEPTION:
            return Answer(name, sequence, ClientOutcome.EXCEPTION, _bytes_of(arguments[1, STRING]), {})
        if kind == ONEWAY:
            return Answer(name, sequence, ClientOutcome.ONEWAY, b"", {})
        (field_number, _), struct = next(iter(arguments.items()))
        if not isinstance(struct, dict):
            raise ProtocolError(f"reply to {name}: expected a struct, got {struct!r:.60}")
        fields = decode_text_map(struct[(2 if field_number == 0 else 1), MAP]) or {}
        if field_number == 0:
            outcome = ClientOutcome.OK if struct[3, BOOL] else ClientOutcome.NOT_GOOD
            return Answer(name, sequence, outcome, _bytes_of(struct[1, STRING]), fields)
        outcome = (ClientOutcome.REJECTED, ClientOutcome.FAILED)[field_number - 1]
        return Answer(name, sequence, outcome, b"", fields)

    def _receive(self, count: int) -> bytes:
        data = b""
        while len(data) < count:
            chunk = self.sock.recv(count - len(data))
            if not chunk:
                raise EOFError("the node closed the connection")
            data += chunk
        self.received_bytes += count
        return data


def _bytes_of(value: ThriftValue) -> bytes:
    if not isinstance(value, bytes):
        raise ProtocolError(f"expected a string, got {value!r:.60}")
    return value


def main() -> None:
    """Send each text on the command line as one RPC and print the answers."""
    path, method, *texts = sys.argv[1:]
    config = json.loads(Path(path).read_text(encoding="utf-8"))
    effects = {service["name"]: service["effect"] for service in config["settings"]["services"]}
    takes_key = effects.get(method) == "idempotency_key"
    client = Client(parse_address(config["listen"]))
    pending = {}
    for text in texts:
        key = hashlib.md5(text.encode()).hexdigest() if takes_key else None
        pending[client.submit(method, text.encode(), key)] = text
    while pending:
        answer = client.answer()
        if answer.name == "submit":
            text = pending.pop(answer.sequence)
            body = answer.body.decode(errors="replace")
            print(f"{text!r}: {answer.outcome} {body!r} {answer.fields or ''}".rstrip())


if __name__ == "__main__":
    main()

"""A toy dispatcher: sends a few RPCs to a node and prints the answers.

    .venv/bin/python -m finchcart.simulated_peers.client example/config.json look-up "which bird is that"
    .venv/bin/python -m finchcart.simulated_peers.client example/config.json book "seat 12" "seat 12"

Each text is one RPC; of a tokened method, equal texts are tries of the same RPC and carry the same token.
"""

import hashlib
import json
import secrets
import socket
import sys
import time

from finchcart.simulated_peers.outside import address
from finchcart.thrift import codec as thrift
from finchcart.thrift.codec import BOOL, FIELD, I32, LENGTH, MAP, STRING, STRUCT


class Client:
    """One connection to a node."""

    def __init__(self, where, source=None):
        self.sock = socket.create_connection(where, timeout=10, source_address=source)
        self.seq = 0

    def send(self, kind, name, args):
        self.seq += 1
        self.sock.sendall(thrift.encode_message(kind, name, self.seq, args + b"\0"))
        return self.seq

    def submit(self, method, body, token=None, **more):
        fields = {
            "c": method,
            "i": secrets.token_hex(8),
            "s": str(time.time_ns() // 1_000_000),
            "f": "1",
            "h": "50.00",
            "m": "24.5",
            "p": "0.5000",
            **more,
        }
        if token:
            fields["k"] = token
        self.seq += 1
        self.sock.sendall(thrift.submit_call(self.seq, fields, body))
        return self.seq

    def heartbeat(self):
        return self.send(thrift.CALL, b"heartbeat", FIELD.pack(BOOL, 1) + b"\1")

    def receive(self, count):
        data = b""
        while len(data) < count:
            part = self.sock.recv(count - len(data))
            if not part:
                raise EOFError("the node closed the connection")
            data += part
        return data

    def answer(self):
        """The next message as (name, sequence number, what, body or text, fields)."""
        reader = thrift.Reader(self.receive(LENGTH.unpack(self.receive(4))[0]))
        kind = reader.number(I32) & 0xFF
        name, seq, args = reader.value(STRING).decode(), reader.number(I32), reader.value(STRUCT)
        if kind == thrift.EXCEPTION:
            return name, seq, "exception", args[1, STRING], {}
        if kind == thrift.ONEWAY:
            return name, seq, "oneway", b"", {}
        (number, _), inner = next(iter(args.items()))
        texts = dict(inner[(2 if number == 0 else 1), MAP])
        fields = {key.decode(): text.decode() for key, text in texts.items()}
        if number == 0:
            return name, seq, "ok" if inner[3, BOOL] else "not good", inner[1, STRING], fields
        return name, seq, ("pushed back", "aborted")[number - 1], b"", fields


def main():
    path, method, *texts = sys.argv[1:]
    with open(path, encoding="utf-8") as file:
        config = json.load(file)
    kind = {m["name"]: m["effect"] for m in config["settings"]["services"]}.get(method)
    client, asked = Client(address(config["listen"])), {}
    for text in texts:
        token = hashlib.md5(text.encode()).hexdigest() if kind == "idempotency_key" else None
        asked[client.submit(method, text.encode(), token)] = text
    while asked:
        name, seq, what, body, fields = client.answer()
        if name == "submit":
            print(f"{asked.pop(seq)!r}: {what} {body.decode(errors='replace')!r} {fields or ''}".rstrip())


if __name__ == "__main__":
    main()

"""Tests of the codecs with handwritten, truncated and random bytes, of the settings, and of the buffers."""

import json
import random
from contextlib import suppress

import pytest

from finchcart import settings
from finchcart.decisions.node_settings import MethodKind
from finchcart.decisions.outcome import Outcome
from finchcart.errors import ProtocolError
from finchcart.limits import Limits
from finchcart.net.buffers import Buffers
from finchcart.protocol import registry_codec, store_codec, worker_pool_codec
from finchcart.protocol.messages import (
    CommandRejected,
    GaugesRead,
    HeartbeatCall,
    RevokeNotice,
    RunAwaitingCall,
    RunEndedNotice,
    StoreReply,
    SubmitCall,
    Subscribed,
    UnknownNotice,
    UnservedCall,
)
from finchcart.thrift import codec as thrift

LIMITS = Limits(memory_bytes=192 * 2**20, descriptors=1024, stop_timeout_us=3_000_000)
MAX_SIZE = LIMITS.buffer_bytes


def decode_first(codec, data, start, max_size):
    """Return the first complete message from `start` on and its end, or None if it is incomplete."""
    end = codec.find_frame_end(data, start, max_size)
    return None if end is None else (codec.decode(data[start:end]), end)


# Written by hand from the specification of the strict binary protocol. A message has the version (1), type,
# name and sequence number. Each field has a type, an id and a value; a zero byte ends a struct. The frame's
# length precedes the message.
SUBMIT = (
    bytes.fromhex("8001000100000006")
    + b"submit"
    + bytes.fromhex("000000070d00010b0b0000000200000001")
    + b"c"
    + bytes.fromhex("00000002")
    + b"go"
    + bytes.fromhex("00000001")
    + b"p"
    + bytes.fromhex("00000003")
    + b"0.5"
    + bytes.fromhex("0b000200000003ff004100")
)
REVOKE = bytes.fromhex("8001000400000006") + b"revoke" + bytes.fromhex("000000090800010000000700")
HEARTBEAT = bytes.fromhex("8001000100000009") + b"heartbeat" + bytes.fromhex("000000010200010100")
FINISHED = (
    b'{"event":"finished","cursor":4,"handle":"9b1f03aa5c7e2d41","fate":"good","lasted":1.5,"arg":"/wBB"}\n'
)
POLLED = b'{"event":"polled","ticket":"9","figures":[0.5,3,0.25,17]}\n'
STORED = b"9b1f03aa5c7e2d41 OK 5\r\na\r\nb\0\r\n"


def with_type(message):
    """Return a message with its type, as messages of different types may be equal as tuples."""
    return type(message), *message


def read_line(text):
    """Return the message of a line from the worker pool, with its type; the newline is added here."""
    return with_type(decode_first(worker_pool_codec.WORKER_POOL_CODEC, text + b"\n", 0, MAX_SIZE)[0])


def framed(data):
    return len(data).to_bytes(4, "big") + data


def test_handwritten_calls_are_decoded():
    assert thrift.decode_message(SUBMIT) == SubmitCall(7, {"c": "go", "p": "0.5"}, b"\xff\0A")
    assert thrift.decode_message(REVOKE) == RevokeNotice(7)
    assert thrift.decode_message(HEARTBEAT) == HeartbeatCall(1)
    assert thrift.decode_message(HEARTBEAT.replace(b"heartbeat", b"headcount")) == UnservedCall(
        1, "headcount"
    )
    assert decode_first(thrift.THRIFT_CODEC, framed(REVOKE) + b"more", 0, MAX_SIZE) == (
        RevokeNotice(7),
        len(REVOKE) + 4,
    )


def test_unknown_fields_of_all_types_are_skipped():
    # bool, byte, double, i16, i64, string, struct, map from byte to list of i16, set of bool, list of struct
    unknown_fields = (
        "02000a"
        "01"
        "03000b"
        "7f"
        "04000c"
        "3ff0000000000000"
        "06000d"
        "0102"
        "0a000e"
        "0000000000000001"
        "0b000f"
        "00000001"
        "41"
        "0c0010"
        "080001"
        "00000001"
        "00"
        "0d0011"
        "030f"
        "00000001"
        "05"
        "06"
        "00000001"
        "0002"
        "0e0012"
        "02"
        "00000002"
        "0100"
        "0f0013"
        "0c"
        "00000001"
        "00"
    )
    position = SUBMIT.index(bytes.fromhex("0b0002"))
    assert thrift.decode_message(
        SUBMIT[:position] + bytes.fromhex(unknown_fields) + SUBMIT[position:]
    ) == thrift.decode_message(SUBMIT)


def test_missing_or_invalid_arguments_of_a_call_are_decoded_as_none():
    none = SUBMIT[:18] + b"\0"
    assert thrift.decode_message(none) == SubmitCall(7, None, None)
    assert thrift.decode_message(SUBMIT.replace(b"go", b"\xff\xfe")).fields is None
    assert (
        thrift.decode_message(
            SUBMIT.replace(b"\x0b\x0b\0", b"\x0b\x08\0", 1)
            .replace(b"\0\0\0\2go", b"\0\0\0\2")
            .replace(b"\0\0\0\x030.5", b"\0\0\0\x03")
        ).fields
        is None
    )


def test_answers_are_encoded_as_in_the_specification():
    feedback = bytes.fromhex("0d00020b0b0000000100000001") + b"v" + bytes.fromhex("00000006") + b"0.2500"
    assert thrift.ok_reply(7, b"\xff\0A", {"v": "0.2500"}) == framed(
        bytes.fromhex("8001000200000006")
        + b"submit"
        + bytes.fromhex("000000070c00000b000100000003ff0041")
        + feedback
        + bytes.fromhex("020003010000")
    )
    assert thrift.rejected_reply(7, {"l": "1"}) == framed(
        bytes.fromhex("8001000200000006")
        + b"submit"
        + bytes.fromhex("000000070c00010d00010b0b0000000100000001")
        + b"l"
        + bytes.fromhex("00000001")
        + b"1"
        + b"\0\0"
    )
    assert thrift.failed_reply(7, {}) == framed(
        bytes.fromhex("8001000200000006") + b"submit" + bytes.fromhex("000000070c00020d00010b0b000000000000")
    )
    assert thrift.health_reply(1, False, {}) == framed(
        bytes.fromhex("8001000200000009")
        + b"heartbeat"
        + bytes.fromhex("000000010c00000b0001000000000d00020b0b00000000020003000000")
    )
    assert thrift.application_exception(3, "x", thrift.UNKNOWN_METHOD, "no") == framed(
        bytes.fromhex("8001000300000001")
        + b"x"
        + bytes.fromhex("000000030b000100000002")
        + b"no"
        + bytes.fromhex("0800020000000100")
    )
    assert thrift.closing_notice() == framed(
        bytes.fromhex("8001000400000007") + b"closing" + bytes.fromhex("0000000000")
    )


@pytest.mark.parametrize(
    "codec, message",
    [
        (thrift.THRIFT_CODEC, framed(SUBMIT)),
        (thrift.THRIFT_CODEC, framed(REVOKE)),
        (thrift.THRIFT_CODEC, framed(HEARTBEAT)),
        (worker_pool_codec.WORKER_POOL_CODEC, FINISHED),
        (worker_pool_codec.WORKER_POOL_CODEC, POLLED),
        (store_codec.STORE_CODEC, STORED),
    ],
)
def test_truncated_messages_are_incomplete_and_corrupt_ones_are_decoded_or_malformed(codec, message):
    for cut in range(len(message)):
        assert decode_first(codec, message[:cut], 0, MAX_SIZE) is None
    assert decode_first(codec, message, 0, MAX_SIZE)[1] == len(message)
    rng = random.Random(len(message))
    for _ in range(4000):
        corrupt = bytearray(message)
        for _ in range(rng.randint(1, 6)):
            corrupt[rng.randrange(len(corrupt))] = rng.choice(
                (0, 1, 11, 13, 127, 128, 255, rng.randrange(256))
            )
        with suppress(ProtocolError):
            decoded = decode_first(codec, bytes(corrupt), 0, MAX_SIZE)
            assert decoded is None or 0 < decoded[1] <= len(corrupt)


@pytest.mark.parametrize(
    "codec", [thrift.THRIFT_CODEC, worker_pool_codec.WORKER_POOL_CODEC, store_codec.STORE_CODEC]
)
def test_random_bytes_raise_only_protocol_errors(codec):
    rng = random.Random(5)
    for _ in range(2000):
        data = rng.randbytes(rng.randint(1, 60)) + rng.choice((b"", b"\n", b"\r\n"))
        with suppress(ProtocolError):
            decode_first(codec, data, 0, MAX_SIZE)


@pytest.mark.parametrize(
    "data",
    [
        framed(SUBMIT[:-2]),
        framed(SUBMIT + b"\0"),
        b"\xff\xff\xff\xff",
        b"\0\0\0\0",
        b"\x7f\0\0\0",
        framed(SUBMIT.replace(b"\x80\1\0\1", b"\x80\2\0\1")),
        framed(SUBMIT.replace(b"\x80\1\0\1", b"\x80\1\0\2")),
        framed(HEARTBEAT[:21] + bytes.fromhex("0f0001087fffffff")),
        framed(HEARTBEAT[:21] + bytes.fromhex("0c0001") * 200),
    ],
)
def test_a_message_that_is_not_a_call_is_malformed(data):
    with pytest.raises(ProtocolError):
        decode_first(thrift.THRIFT_CODEC, data, 0, MAX_SIZE)


def test_notices_of_the_worker_pool_are_decoded():
    name = "9b1f03aa5c7e2d41"
    assert with_type(decode_first(worker_pool_codec.WORKER_POOL_CODEC, FINISHED, 0, MAX_SIZE)[0]) == (
        RunEndedNotice,
        4,
        name,
        Outcome.OK,
        1500,
        b"\xff\0A",
    )
    assert with_type(decode_first(worker_pool_codec.WORKER_POOL_CODEC, POLLED, 0, MAX_SIZE)[0]) == (
        GaugesRead,
        "9",
        (0.5, 3.0, 0.25, 17.0),
    )
    assert read_line(b'{"event":"bound","fate":"new","lasted":20}') == (Subscribed, True, 20_000)
    assert read_line(b'{"event":"blocked","cursor":5,"handle":"x","arg":"AA=="}') == (
        RunAwaitingCall,
        5,
        "x",
        b"\0",
    )
    assert read_line(b'{"event":"unknown","fate":"spawn","handle":"x"}') == (CommandRejected, True, "x")
    assert read_line(b'{"event":"of a later day"}') == (UnknownNotice,)


def test_invalid_lines_of_the_worker_pool_are_malformed():
    for bad in (
        b"[]",
        b"{}",
        b"7",
        b'{"event":"finished","cursor":4}',
        b"[" * 5000,
        b'{"event":["a"]}' * 2,
        FINISHED[:-1].replace(b"good", b"fine"),
        FINISHED[:-1].replace(b"/wBB", b"/w!B"),
        FINISHED[:-1].replace(b"1.5", b"1e999"),
        FINISHED[:-1].replace(b'"9b1f03aa5c7e2d41"', b"[]"),
        POLLED[:-1].replace(b"0.25", b"NaN"),
        POLLED[:-1].replace(b"0.25", b'"x"'),
        b'{"event":"unknown","fate":"spawn","handle":[1]}',
    ):
        with pytest.raises(ProtocolError):
            read_line(bad)


def test_commands_to_the_worker_pool_are_one_json_object_per_line():
    commands = [
        worker_pool_codec.encode_subscribe(3),
        worker_pool_codec.encode_start("x", "m", b"\xff\0A"),
        worker_pool_codec.encode_reply("x", b"A"),
        worker_pool_codec.encode_degrade("x", 5),
        worker_pool_codec.encode_gauges_request("7"),
    ]
    assert all(line.count(b"\n") == 1 for line in commands)
    assert all(line.endswith(b"\n") for line in commands)
    assert [json.loads(line) for line in commands] == [
        {"event": "bind", "cursor": 3},
        {"event": "spawn", "handle": "x", "entry": "m", "arg": "/wBB"},
        {"event": "supply", "handle": "x", "arg": "QQ=="},
        {"event": "pass", "handle": "x", "cursor": 5},
        {"event": "poll", "ticket": "7"},
    ]


def test_messages_of_the_store_and_the_registry():
    reply, end = decode_first(store_codec.STORE_CODEC, STORED, 0, MAX_SIZE)
    assert with_type(reply) == (StoreReply, "9b1f03aa5c7e2d41", Outcome.OK, b"a\r\nb\0")
    assert end == len(STORED)
    replies = {b"BUSY": True, b"ERR": False, b"LATE": False, b"VOID": True}
    for word, never_ran in replies.items():
        (name, outcome, body), _ = decode_first(store_codec.STORE_CODEC, b"x " + word + b"\r\n", 0, MAX_SIZE)
        assert (name, outcome.never_ran, body) == ("x", never_ran, b"")
    for bad in (b"x\r\n", b"x OK\r\n", b"x OK -1\r\n", b"x OK 99999\r\n", b"x OK 1\r\nabc", b"x WHAT\r\n"):
        with pytest.raises(ProtocolError):
            decode_first(store_codec.STORE_CODEC, bad, 0, MAX_SIZE)
    assert store_codec.encode_call("x", 250_001, b"a\r\nb") == b"CALL x 251 4\r\na\r\nb\r\n"
    assert (
        registry_codec.encode_registration("n3", True),
        registry_codec.encode_registration("n3", False),
    ) == (b"HERE n3 on", b"HERE n3 off")


def test_wire_pairs_and_json_configuration_give_the_same_settings():
    tree = {
        "contract": {"overloadFactor": 8.0, "cold": 18_000_000},
        "me": 5,
        "tenants": [],
        "tier": 0,
        "familyInfo": {
            "cores": 6,
            "freshStart": False,
            "gauges": ["core_use", "on_cores"],
            "preemption": "silent",
            "worthWithout": [0.6, 0.0],
            "classCalls": [True],
            "calls_out": 3,
        },
        "services": [
            {"name": "7", "effect": "read_like", "worth": 1.0, "deadline": 4_600_000},
            {"name": "submit-answer", "effect": "idempotency_key", "worth": 3.0, "odd": {"x": 1}},
        ],
    }
    pairs = dict(
        part.split("=")
        for part in (
            "contract.overloadFactor=8.0 contract.cold=18000000 me=5 tenants= tier=0 familyInfo.cores=6 "
            "familyInfo.freshStart=false familyInfo.gauges=core_use,on_cores familyInfo.preemption=silent "
            "familyInfo.worthWithout=0.6,0.0 familyInfo.classCalls=true familyInfo.calls_out=3 "
            "services.count=2 services.0.name=7 "
            "services.0.effect=read_like services.0.worth=1.0 services.0.deadline=4600000 "
            "services.1.name=submit-answer services.1.effect=idempotency_key services.1.worth=3.0 "
            "services.1.odd.x=1"
        ).split()
    )
    loaded = settings.from_json(tree)
    assert loaded == settings.from_pairs(pairs)
    assert loaded.methods[0].name == "7"
    assert loaded.methods[1].kind is MethodKind.KEYED
    assert loaded.can_stop is False
    assert [method.degraded_value for method in loaded.methods] == [0.6, 0.0]
    assert loaded.gauges == ("core_use", "on_cores")


def test_an_empty_list_of_settings_leaves_the_defaults_of_each_method():
    services = [{"name": "a"}, {"name": "b"}]
    family = {"classCalls": [], "worthWithout": []}
    loaded = settings.from_json({"services": services, "familyInfo": family})
    pairs = {"services.count": "2", "services.0.name": "a", "services.1.name": "b"}
    assert loaded == settings.from_pairs(
        {**pairs, "familyInfo.classCalls": "", "familyInfo.worthWithout": ""}
    )
    assert [method.makes_call for method in loaded.methods] == [False, False]
    assert [method.degraded_value for method in loaded.methods] == [0, 0]


def test_buffers_are_reused_and_cannot_be_released_twice():
    buffers, rng, taken = Buffers(LIMITS), random.Random(3), []
    for _ in range(3000):
        if taken and rng.random() < 0.5:
            buffers.release(taken.pop(rng.randrange(len(taken))))
        else:
            taken.append(buffers.acquire())
            assert len(taken[-1]) == LIMITS.buffer_bytes
        assert len(buffers.in_use) == len(taken) == len({id(buffer) for buffer in taken})
        assert len(buffers.spare) <= LIMITS.spare_buffers
    last = taken.pop()
    buffers.release(last)
    with pytest.raises(ValueError):
        buffers.release(last)

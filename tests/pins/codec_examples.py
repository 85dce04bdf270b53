"""Examples for all codecs, with the current names of the code.

A rename in a codec changes this file and no recorded bytes. Recorded are the bytes of an example of each
message that the program sends or receives, the values that it is decoded to, and the digests and numbers that
identify keys, members and subjects in messages.
"""

from functools import partial

import msgspec

from finchcart.consensus import messages as consensus
from finchcart.consensus import subjects
from finchcart.decisions.outcome import Outcome
from finchcart.fleet import codec
from finchcart.key_leases import messages as key_leases
from finchcart.limits import Limits
from finchcart.membership import messages as membership
from finchcart.node.methods import MethodInfo
from finchcart.node.wall_clock import WallClockHistory
from finchcart.protocol import registry_codec, store_codec, worker_pool_codec
from finchcart.protocol.messages import (
    CommandRejected,
    GaugesRead,
    HeartbeatCall,
    InformationalNotice,
    RevokeNotice,
    RunAwaitingCall,
    RunEndedNotice,
    StoreReply,
    SubmitCall,
    Subscribed,
    UnknownNotice,
    UnservedCall,
)
from finchcart.quota import messages as quota
from finchcart.simulator.codec import OUTCOMES
from finchcart.thrift import codec as thrift
from finchcart.thrift import fields as thrift_fields
from finchcart.thrift.binary_protocol import (
    CALL,
    FIELD,
    I32,
    LENGTH,
    ONEWAY,
    STRING,
    STRUCT,
    Reader,
    encode_message,
)

FLEET = "example"
OUTCOME_CODES = {outcome: code for code, outcome in OUTCOMES.items()}

# ---- Datagrams: fields are encoded and recorded in their order, without names

MEMBER_RECORD = membership.MemberRecord(
    "n1", "10.0.0.7:7400", 2**63 + 5, 1_700_000_000_123, 1_700_000_000_456, 7, 1, [11, 2**64 - 1]
)
GOSSIP_ENTRY = membership.GossipEntry(2**40, 1, 9, 4, 2500, [(3, 4, 5)], b"\x00\xffdata")
BALLOT = 5, 2**50
LIMIT_DEMAND = quota.LimitDemand("store", 3, 4, 5, 9, 1, 2, 250)
KEY = bytes(range(16))
LEASE_REPORT = key_leases.LeaseReport(KEY, 3, key_leases.LeaseStatus.COMPLETED, b"done\xff", 2**61)
OVERRIDE = consensus.OperatorOverride(2**58 + 1, 700, 12, 99, 2**45, 60_000_000, "too hot")
DATAGRAMS = {
    "membership beat": (
        membership,
        membership.Heartbeat(MEMBER_RECORD, 8, 21, 6, 2**60, [MEMBER_RECORD], [GOSSIP_ENTRY]),
    ),
    "membership sync": (membership, membership.BucketDigests(MEMBER_RECORD, [1, 2**64 - 1])),
    "membership page": (
        membership,
        membership.BucketPage(MEMBER_RECORD, 64, 63, 1, 2**62, [(1, 2, 3)], True),
    ),
    "membership rows": (membership, membership.MemberRecords([MEMBER_RECORD, MEMBER_RECORD])),
    "membership ask": (membership, membership.ViewRequest(17, 2)),
    "membership told": (membership, membership.ViewPage(17, 2, 3, {"name": "n1", "age_ms": 5})),
    "membership taken": (membership, membership.NameTaken(MEMBER_RECORD)),
    "quota prepare": (quota, quota.Prepare(BALLOT, 2**33)),
    "quota promise": (quota, quota.Promise(BALLOT, (BALLOT, 7))),
    "quota promise of none": (quota, quota.Promise(BALLOT, None)),
    "quota propose": (quota, quota.Propose(BALLOT, 7)),
    "quota accept": (quota, quota.Accept(BALLOT)),
    "quota refuse": (quota, quota.Reject(BALLOT, (6, 1))),
    "quota want": (quota, quota.LeaseRequest("n1", 2**63, 8, 6, True, [LIMIT_DEMAND])),
    "quota grant": (quota, quota.LeaseGrant(3, 2**63, 8, [quota.LimitLease("store", 4, 5, 3_000_000, 200)])),
    "quota elsewhere": (quota, quota.Redirect(2**63, 8, "10.0.0.9:7400")),
    "quota ask": (quota, quota.QuotaStatusRequest(4)),
    "quota told": (quota, quota.QuotaStatusResponse(4, {"limits": []})),
    "consensus ask": (consensus, consensus.ConsensusStatusRequest(4, 1)),
    "consensus say": (consensus, consensus.OverrideRequest(4, 2**58 + 1, 1000, 60_000_000, "too hot")),
    "consensus told": (consensus, consensus.ConsensusStatusResponse(4, {"taken": True})),
    "key lease claim": (
        key_leases,
        key_leases.AcquireLeases("n1", 2**63, [key_leases.LeaseProposal(KEY, 5, 3, 20_000_000)]),
    ),
    "key lease votes": (key_leases, key_leases.Votes(2**63, [LEASE_REPORT])),
    "key lease say": (key_leases, key_leases.ReportOutcomes("n1", 2**63, [LEASE_REPORT])),
    "key lease noted": (
        key_leases,
        key_leases.OutcomesAcknowledged(2**63, [(KEY, 3, key_leases.LeaseStatus.PAYLOAD_MISMATCH)]),
    ),
}


def encode_datagram(package, message):
    return package.CODEC.encode(FLEET, message)


def decode_datagram(package, data):
    return msgspec.to_builtins(package.CODEC.decode(FLEET, data))


# ---- Streams: worker pool, store, registry, and the dispatchers' Thrift

RPC_NAME, BODY = "9b1f03aa5c7e2d41", b"\xff\x00A\r\n"
RESPONSE_FIELDS = {"v": "0.2500", "l": "1"}
ENCODED = {
    **{name: partial(encode_datagram, *example) for name, example in DATAGRAMS.items()},
    "opinions in a note": lambda: codec.encode_value([(2**58, 2, 9)]),
    "operators' words in a note": lambda: codec.encode_value([OVERRIDE]),
    "worker pool join": lambda: worker_pool_codec.encode_subscribe(3),
    "worker pool run": lambda: worker_pool_codec.encode_start(RPC_NAME, "look-up", BODY),
    "worker pool run, name in need of quotes": lambda: worker_pool_codec.encode_start('x"y', "look-up", b""),
    "worker pool reply": lambda: worker_pool_codec.encode_reply(RPC_NAME, BODY),
    "worker pool skip": lambda: worker_pool_codec.encode_degrade(RPC_NAME, 5),
    "worker pool gauges": lambda: worker_pool_codec.encode_gauges_request("7"),
    "store call": lambda: store_codec.encode_call(RPC_NAME, 250_001, BODY),
    "registry good": lambda: registry_codec.encode_registration("n3", True),
    "registry bad": lambda: registry_codec.encode_registration("n3", False),
    "thrift submit": lambda: thrift.submit_call(7, {"c": "look-up", "p": "0.5"}, BODY),
    "thrift ok": lambda: thrift.ok_reply(7, BODY, RESPONSE_FIELDS),
    "thrift rejected": lambda: thrift.rejected_reply(7, RESPONSE_FIELDS),
    "thrift failed": lambda: thrift.failed_reply(7, {}),
    "thrift health good": lambda: thrift.health_reply(1, True, RESPONSE_FIELDS),
    "thrift health bad": lambda: thrift.health_reply(1, False, {}),
    "thrift unknown method": lambda: thrift.application_exception(3, "x", thrift.UNKNOWN_METHOD, "no"),
    "thrift protocol error": lambda: thrift.application_exception(3, "submit", thrift.PROTOCOL_ERROR, "no"),
    "thrift closing": lambda: thrift.closing_notice(),
    "thrift heartbeat": lambda: encode_message(CALL, b"heartbeat", 2, b"\0"),
    "thrift other call": lambda: encode_message(CALL, b"headcount", 2, b"\0"),
    "thrift other one-way call": lambda: encode_message(ONEWAY, b"headcount", 2, b"\0"),
    "thrift revoke": lambda: encode_message(
        ONEWAY,
        b"revoke",
        0,
        FIELD.pack(I32, 1) + LENGTH.pack(7) + b"\0",
    ),
    # Identifiers of keys, members and subjects in messages.
    "member id": lambda: to_bytes(codec.name_hash("n1")),
    "member row digest": lambda: to_bytes(MEMBER_RECORD.digest()),
    "key digest": lambda: key_leases.key_digest("book", "token-1"),
    "body digest": lambda: to_bytes(key_leases.payload_digest(BODY)),
    "subject store": lambda: to_bytes(subjects.make_subject(subjects.SubjectKind.STORE)),
    "subject level": lambda: to_bytes(subjects.make_subject(subjects.SubjectKind.LEVEL)),
    "subject zone": lambda: to_bytes(subjects.make_subject(subjects.SubjectKind.ZONE)),
    "subject node": lambda: to_bytes(subjects.node_subject("n1")),
    "subject address": lambda: to_bytes(subjects.source_subject("10.0.0.7")),
    "subject dispatcher": lambda: to_bytes(subjects.source_subject("17")),
}
FINISHED = b'{"event":"finished","cursor":4,"handle":"x",'
RECEIVED = {
    "worker pool end, good": FINISHED + b'"fate":"good","lasted":1.5,"arg":"/wBB"}\n',
    "worker pool end, bad": FINISHED + b'"fate":"bad","lasted":1,"arg":""}\n',
    "worker pool end, cut": FINISHED + b'"fate":"cut","lasted":0}\n',
    "worker pool end, gone": FINISHED + b'"fate":"gone","lasted":0}\n',
    "worker pool at a call": b'{"event":"blocked","cursor":5,"handle":"x","arg":"AA=="}\n',
    "worker pool gauges told": b'{"event":"polled","ticket":"9","figures":[0.5,3,0.25,17]}\n',
    "worker pool up, new": b'{"event":"bound","fate":"new","lasted":20}\n',
    "worker pool up, old": b'{"event":"bound","fate":"old","lasted":2000}\n',
    "worker pool not carried out": b'{"event":"unknown","fate":"spawn","handle":"x"}\n',
    "worker pool not carried out, no run": b'{"event":"unknown","fate":"pass","handle":null}\n',
    "worker pool remark": b'{"event":"chatter","cursor":6,"arg":"aGk="}\n',
    "worker pool other": b'{"event":"of a later day"}\n',
    "store ok": b"x OK 5\r\na\r\nb\0\r\n",
    "store full": b"x BUSY\r\n",
    "store error": b"x ERR\r\n",
    "store late": b"x LATE\r\n",
    "store moot": b"x VOID\r\n",
}
# Type of a decoded message -> recorded name.
RECORDED_TYPE_NAMES = {
    Subscribed: "up",
    RunEndedNotice: "run ended",
    RunAwaitingCall: "at call",
    GaugesRead: "gauges",
    CommandRejected: "not carried out",
    InformationalNotice: "remark",
    UnknownNotice: "other",
    StoreReply: "reply",
    SubmitCall: "rpc",
    RevokeNotice: "left",
    HeartbeatCall: "check",
    UnservedCall: "not served",
}
MAX_MESSAGE_BYTES = 16 * 1024
THRIFT_CALLS = ("submit", "heartbeat", "other call", "other one-way call", "revoke")


def to_bytes(value):
    return value.to_bytes(8, "big")


def to_plain(value):
    """Convert a value to types that JSON has; a dictionary becomes a list of pairs."""
    if isinstance(value, Outcome):
        return OUTCOME_CODES[value]
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, (tuple, list)):
        return [to_plain(item) for item in value]
    if isinstance(value, dict):
        return [[to_plain(key), to_plain(item)] for key, item in value.items()]
    return value


def decode_frame(codec, data):
    """Decode the only message in the bytes, after finding its end as a connection does."""
    assert codec.find_frame_end(data[:-1], 0, MAX_MESSAGE_BYTES) is None
    assert codec.find_frame_end(data, 0, MAX_MESSAGE_BYTES) == len(data)
    message = codec.decode(data)
    return [RECORDED_TYPE_NAMES[type(message)], *to_plain(message)]


def decode_thrift_reply(data):
    """Decode a reply with the reader of the binary protocol, which accepts any message."""
    reader = Reader(data[4:])
    values = [
        reader.read_integer(I32),
        reader.read_value(STRING),
        reader.read_integer(I32),
    ]
    return to_plain([*values, reader.read_value(STRUCT)])


def decode_example(name, data):
    """Return the decoded example as plain values, or None for a message that the program only sends."""
    kind, _, rest = name.partition(" ")
    if name in DATAGRAMS:
        return to_plain(decode_datagram(DATAGRAMS[name][0], data))
    if name.endswith("in a note"):
        read = consensus.decode_reports if kind == "opinions" else consensus.decode_overrides
        return to_plain(msgspec.to_builtins(read(data)))
    if kind == "thrift":
        return decode_frame(thrift.THRIFT_CODEC, data) if rest in THRIFT_CALLS else decode_thrift_reply(data)
    if name in RECEIVED:
        return decode_frame(
            store_codec.STORE_CODEC if kind == "store" else worker_pool_codec.WORKER_POOL_CODEC, data
        )
    return None


# ---- The fields of an RPC

LIMITS = Limits(memory_bytes=192 * 2**20, descriptors=1024, stop_timeout_us=3_000_000)
NOW = 1_700_000_000_000_000
METHODS = {
    name: MethodInfo(not is_keyed, is_keyed, 0.0, 0, late_read_us=5_000_000, has_priority=False)
    for name, is_keyed in {"look-up": False, "book": True}.items()
}
RECORDED_FIELD_NAMES = {  # current name of an attribute -> recorded name
    "arrived_at": "arrived",
    "caller": "caller",
    "is_retry": "retry",
    "service_time_hint_us": "estimate",
    "memory_kb": "footprint",
    "shed_rank": "rank",
}


class FixedArrivalClock:
    """An arrival clock that always reads `NOW`, and whose wall clock never stepped."""

    def read_arrival(self, stamp, late_read_us):
        return WallClockHistory().arrival(stamp, 0, NOW, NOW - late_read_us, LIMITS.max_clock_lead_us)

    def unix_now(self):
        return NOW


def read_rpc_fields(fields, body):
    """Return the attributes that are read from an RPC's fields, or the error text."""
    try:
        rpc = thrift_fields.read_rpc(fields, body, FixedArrivalClock(), LIMITS, METHODS, connection=1)
    except ValueError as error:
        return str(error)
    attributes = {word: getattr(rpc.attributes, name) for name, word in RECORDED_FIELD_NAMES.items()}
    return [rpc.name, rpc.method, rpc.attributes.idempotency_key, attributes]

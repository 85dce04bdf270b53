"""What opinions are of: kinds, and how a subject is written in one word of 64 bits.

Owns the coding. A subject is its kind and 56 bits more: the address or number of a source, the id of a node.
"""

from finchcart.membership.messages import id_of

STORE, NUMBER, ADDRESS, NODE, LEVEL, ZONE = range(1, 7)
KINDS = {STORE: "store", NUMBER: "source", ADDRESS: "source", NODE: "node", LEVEL: "level", ZONE: "zone"}
REST = (1 << 56) - 1
WORKING, SLOW, DOWN = 1, 2, 3  # of the store
SLOWED, OUT = 2, 3  # of a source; OUT of a node too
OF_SOURCE = {1: "in", SLOWED: "slowed", OUT: "out"}
WORDS = {
    STORE: {WORKING: "working", SLOW: "slow", DOWN: "down"},
    NODE: {1: "in", OUT: "out"},
    NUMBER: OF_SOURCE,
    ADDRESS: OF_SOURCE,
}


def subject(kind, rest=0):
    return kind << 56 | rest & REST


def kind_of(subject):
    return subject >> 56


STORE_ITSELF, LEVEL_ITSELF, ZONE_ITSELF = subject(STORE), subject(LEVEL), subject(ZONE)


def node(name):
    return subject(NODE, id_of(name))


def source(text):
    """Of an address or the number of a dispatcher; None where it is neither."""
    parts = text.split(".")
    if len(parts) == 4 and all(part.isdecimal() and len(part) < 4 and int(part) < 256 for part in parts):
        return subject(ADDRESS, int.from_bytes(bytes(map(int, parts)), "big"))
    if text.isdecimal() and len(text) < 16:
        return subject(NUMBER, int(text))
    return None


def read(kind, name):
    """The subject that an operator names; a ValueError tells what is wrong."""
    if kind == "store":
        return STORE_ITSELF
    if kind == "level":
        return LEVEL_ITSELF
    if kind == "node":
        return node(name)
    out = source(name)
    if out is None:
        raise ValueError(f"{name!r}: neither an address nor the number of a dispatcher")
    return out


def read_value(kind, text):
    """The value of a word; a ValueError tells what may be said."""
    if kind == "level":
        try:
            return round(1000 * min(1.0, max(0.0, float(text))))
        except ValueError:
            raise ValueError(f"{text!r}: a level is a number from 0 to 1") from None
    words = WORDS[{"store": STORE, "source": ADDRESS, "node": NODE}[kind]]
    for value, word in words.items():
        if word == text:
            return value
    raise ValueError(f"{text!r}: one of {', '.join(words.values())}")


def told(subject, value, names):
    """(kind, name, value) in words; `names`: node subject -> name."""
    kind, rest = kind_of(subject), subject & REST
    if kind == LEVEL:
        return "level", "", f"{value / 1000:.2f}"
    name = {
        STORE: "",
        NUMBER: str(rest),
        NODE: names.get(subject, f"{rest:x}"),
        ADDRESS: ".".join(map(str, rest.to_bytes(7, "big")[3:])),
    }[kind]
    return KINDS[kind], name, WORDS[kind].get(value, str(value))

"""Planners and lease holders that a test drives message by message."""

import random

from finchcart.fleet.codec import parse_address
from finchcart.fleet.effects import SendDatagram
from finchcart.fleet.inputs import DatagramReceived, Tick
from finchcart.quota import messages
from finchcart.quota.held_lease import NO_LEASE
from finchcart.quota.limits import Limit, QuotaConfig

PLANNERS = ("10.0.0.1:7401", "10.0.0.2:7401", "10.0.0.3:7401")
SECOND_PLANNER, THIRD_PLANNER, HOLDER_ADDRESS = (
    parse_address(PLANNERS[1]),
    parse_address(PLANNERS[2]),
    ("10.0.0.9", 7400),
)
CONFIG = QuotaConfig(
    limits=(Limit("store", 40),), planners=PLANNERS, max_processes=4, max_step=1.0, reserve=0.0
)


def datagram_with(message, address=SECOND_PLANNER):
    """Return the input of a datagram that contains this message."""
    return DatagramReceived(address, messages.CODEC.encode("f", message))


def sent(effects):
    """Return the messages in these effects."""
    return [messages.CODEC.decode("f", effect.data) for effect in effects if isinstance(effect, SendDatagram)]


def started(factories):
    """Return a planner that has just started."""
    return factories.planner(PLANNERS[0], "f", CONFIG, random.Random(1), 0)


def elected(factories, accept_late=0):
    """Return a leading planner and the time at which it proposed its lease."""
    leader = started(factories)
    now = CONFIG.startup_quiet_period + 2 * CONFIG.election_retry
    leader.reduce(now, Tick())
    ballot = leader.election.candidacy.ballot
    leader.reduce(now + 1, datagram_with(messages.Promise(ballot, None)))
    leader.reduce(now + 2 + accept_late, datagram_with(messages.Accept(ballot)))
    return leader, now + 1


def request_lease(
    leader, now, name, session, sequence, held=NO_LEASE, in_use=0, demand=40, oldest_sequence=0
):
    """Request a lease of a planner; return the lease, or None if the planner granted none."""
    report = messages.LimitDemand("store", held.term, held.number, in_use, demand, 0)
    lease_request = messages.LeaseRequest(name, session, sequence, oldest_sequence, False, [report])
    answers = sent(leader.reduce(now, datagram_with(lease_request, HOLDER_ADDRESS)))
    return next((each.leases[0] for each in answers if isinstance(each, messages.LeaseGrant)), None)


def requesting_holder(factories):
    """Return a lease holder that has sent its first request."""
    lease_holder = factories.lease_holder("n1", "f", CONFIG, random.Random(1), 0)
    lease_holder.reduce(0, Tick())
    return lease_holder


def answer_with_lease(lease_holder, now, term, sequence, number, amount):
    """Answer a holder's request with a lease; return the amount that the holder then has."""
    lease = messages.LimitLease("store", number, amount, CONFIG.lease_duration, 40)
    lease_holder.reduce(
        now, datagram_with(messages.LeaseGrant(term, lease_holder.session, sequence, [lease]))
    )
    return lease_holder.held["store"].amount

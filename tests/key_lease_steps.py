"""Steps of a simulation that the tests of key leases share."""

from finchcart.fault_injection.key_leases.simulation import TICK_US
from finchcart.fault_injection.key_leases.state_space import KEY
from finchcart.key_leases.config import SECOND
from finchcart.key_leases.inputs import AcquireKeyLeases, KeyToLease


def settle(simulation, rounds=40):
    """Deliver all messages in order and let time pass, for a number of ticks."""
    for _ in range(rounds):
        while simulation.in_flight:
            simulation.deliver(0)
        simulation.pass_time(TICK_US)


def acquire(simulation, name, payload_digest=7, key=KEY):
    """Make a holder begin to acquire the lease of a key."""
    simulation.feed(name, AcquireKeyLeases([KeyToLease(key, payload_digest, 12 * SECOND)]))

"""Consensus of the fleet under faults, on the virtual clock."""

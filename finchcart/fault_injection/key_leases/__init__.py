"""Simulation of key leases under faults, on a virtual clock."""

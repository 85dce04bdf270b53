"""Simulation of fleet-wide limits under faults, on a virtual clock."""

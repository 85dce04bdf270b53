"""Simulation of the fleet's consensus under faults, on a virtual clock."""

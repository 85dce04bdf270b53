"""Simulation of membership under faults, on a virtual clock."""

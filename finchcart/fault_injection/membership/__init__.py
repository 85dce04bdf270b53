"""Membership under faults, on the virtual clock."""

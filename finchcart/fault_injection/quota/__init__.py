"""The limits of the whole fleet under faults, on the virtual clock."""

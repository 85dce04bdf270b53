"""Key leases under faults, on the virtual clock."""

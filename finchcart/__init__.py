"""finchcart decides, inside each server of a fleet, which RPCs the server admits, runs and rejects."""

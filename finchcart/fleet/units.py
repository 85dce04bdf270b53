"""Units of time; durations and clocks are whole microseconds."""

MS = 1_000  # microseconds in a millisecond
SECOND = 1_000_000  # microseconds in a second

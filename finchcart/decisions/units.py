"""Units of time of the decision module: every point in time and duration is in whole microseconds."""

MS = 1_000
SECOND = 1_000_000

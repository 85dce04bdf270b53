"""Units of time in the decision module, where points in time and durations are whole microseconds."""

MS = 1_000
SECOND = 1_000_000

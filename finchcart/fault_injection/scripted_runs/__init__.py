"""Scripts of faults, played on real processes or on the virtual clock, and checked."""

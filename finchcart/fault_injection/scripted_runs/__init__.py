"""Fault scripts, which are executed on real processes or on the virtual clock and then checked."""

"""Checks of the source tree that the linter does not have; run by `make lint` and `.ci/run`."""

"""Checks of the source tree that complement the linter; run by `make lint` and `.ci/run`."""

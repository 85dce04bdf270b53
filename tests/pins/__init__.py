"""Inputs and recorded results of the regression tests in tests/test_pins.py."""

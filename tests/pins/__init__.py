"""What the pins of tests/test_pins.py are made of, and their data."""

"""Discrete-event simulation of many processes: a simulated clock and a simulated network between them."""

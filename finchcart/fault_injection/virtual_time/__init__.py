"""State machines of many processes on one simulated clock, and the network between them."""

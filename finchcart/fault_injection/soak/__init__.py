"""Nodes as `run` starts them under faults of links, clocks, calls and signals, judged by records."""

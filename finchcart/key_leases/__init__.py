"""Claims: a key's run belongs to one node of the fleet for the time of its window.

Owns the keepers, of whom a majority holds each claim (keeper.py), and the node's side, which asks before a
run is commanded (holder.py). It must never run anything, hold a socket, a clock or a lock, nor free a claim
because its holder is failed: it may have run.
"""

"""The settings file of a fleet: its fields, the rules between them, and the configurations that it gives.

It is read by the command line and by runs with faults; it must never import either, nor be imported by a node
that no settings file is named for.
"""

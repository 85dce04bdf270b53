"""The command line of the program.

The modules in this package parse arguments, start processes of a fleet and print results. A node that is
started without arguments must never import them.
"""

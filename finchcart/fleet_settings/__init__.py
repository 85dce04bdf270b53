"""The settings file of a fleet: its fields, the rules between them, and the configurations built from it.

The command line and the fault-injection runs read settings files. This package must not import either of
them, and a node that is started without a settings file must not import this package.
"""

"""The command line and the settings file of installations whose nodes may talk.

Owns what a person types and reads. It must never be imported by a node that is started without arguments.
"""

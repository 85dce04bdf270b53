"""The codecs of the platform's protocols, the types of messages, and the events of a connection.

The package has plain types and pure functions, which the node's core and its socket layer share. It must
never hold a socket, a thread or the state of a node.
"""

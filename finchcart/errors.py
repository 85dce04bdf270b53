"""Base classes of all errors that the program expects.

An error that a peer, a caller or a configuration causes has a type of this module, or a subtype that is
defined next to its codec. Its message says what was expected, what was found and where. Any other exception
is a defect of the program and must not be caught, except where a comment gives the reason.
"""


class FinchcartError(Exception):
    """Base class of all errors that a peer, a caller or a configuration can cause."""


class ProtocolError(FinchcartError):
    """Invalid bytes from a peer, which are not a message of the protocol; the connection is closed."""


class ConfigError(FinchcartError):
    """An invalid configuration."""


class SettingsError(ConfigError):
    """An invalid settings file; `mistakes` holds one line for each mistake in it."""

    def __init__(self, mistakes: list[str]) -> None:
        super().__init__("\n".join(mistakes))
        self.mistakes = mistakes


class InvalidOverrideError(FinchcartError, ValueError):
    """An operator's override whose subject or value does not exist."""


class InvalidRpcError(FinchcartError, ValueError):
    """An RPC that is not accepted because one of its fields is invalid."""

"""The errors of the program, in one tree.

Each message says what was expected, what was found and where. An error that a peer, a caller or a
configuration causes is of a type here, or of a subtype beside its codec; anything else is a defect of the
program and is not caught, but where a comment names what is guarded.
"""


class FinchcartError(Exception):
    """Base of all errors that a peer, a caller or a configuration can cause."""


class ProtocolError(FinchcartError):
    """Bytes that are no message of a protocol: a fault of the peer, whose connection is closed."""


class ConfigError(FinchcartError):
    """A configuration that cannot be used."""


class SettingsError(ConfigError):
    """A settings file that cannot be used. `mistakes` has one line for each reason."""

    def __init__(self, mistakes: list[str]) -> None:
        super().__init__("\n".join(mistakes))
        self.mistakes = mistakes


class InvalidOverrideError(FinchcartError, ValueError):
    """An operator's override of a decision that names no subject or value."""


class InvalidRpcError(FinchcartError, ValueError):
    """An RPC that cannot be accepted, as one of its fields is not valid."""

"""Typed exceptions, each with a stable code and a sentence template.

Notes
-----
A subclass defines its ``code`` and its ``template``; the fields of the template are
the keyword arguments that the exception is raised with. ``ERROR_TYPES`` lists all
subclasses, and the reference page of error codes is generated from it.
"""

from typing import Any, ClassVar

__all__ = [
    "ERROR_TYPES",
    "ClockWentBackError",
    "DamaskrillError",
    "DuplicatePluginError",
    "InvalidParameterError",
    "PeerFrameError",
    "PeerMessageTooLargeError",
    "PeerRefusedError",
    "PeerSilentError",
    "PeerUnreachableError",
    "RequestNotLoggedError",
    "UndecodableMessageError",
    "UnknownPluginError",
    "UnreadableLogError",
]

ERROR_TYPES: dict[str, type["DamaskrillError"]] = {}


class DamaskrillError(Exception):
    """Base class of all errors of the project.

    Parameters
    ----------
    **details : object
        Values for the fields of ``template``.

    Attributes
    ----------
    code : str
        Stable identifier, the same in logs, answers and the reference page.
    template : str
        Sentence with named format fields.
    """

    code: ClassVar[str] = "internal_error"
    template: ClassVar[str] = "an internal check failed: {detail}"

    def __init_subclass__(cls, **kwargs: Any) -> None:
        super().__init_subclass__(**kwargs)
        if cls.__dict__.get("code"):
            ERROR_TYPES[cls.code] = cls

    def __init__(self, **details: Any) -> None:
        self._details = details
        super().__init__(self.sentence)

    @property
    def details(self) -> dict[str, Any]:
        """Values of the fields of ``template``."""
        return self._details

    @property
    def sentence(self) -> str:
        """Human-readable description of the error."""
        return self.template.format(**self._details)

    def __str__(self) -> str:
        return f"{self.code}: {self.template.format(**self._details)}"


ERROR_TYPES[DamaskrillError.code] = DamaskrillError


class InvalidParameterError(DamaskrillError):
    """A parameter is outside its declared range."""

    code = "invalid_parameter"
    template = "parameter {name} is {value!r}, but must be {expected}"


class UnknownPluginError(DamaskrillError):
    """No plug-in of the given kind and name is registered."""

    code = "unknown_plugin"
    template = "unknown {kind} {name!r}; available: {known}"


class DuplicatePluginError(DamaskrillError):
    """Two plug-ins use the same kind and name."""

    code = "duplicate_plugin"
    template = "a {kind} named {name!r} is already registered"


class ClockWentBackError(DamaskrillError):
    """A fake clock was set to an earlier time."""

    code = "clock_went_back"
    template = "the clock cannot be set back from {now_ms} ms to {target_ms} ms"


class UndecodableMessageError(DamaskrillError):
    """A map cannot be decoded to a message of a known type."""

    code = "undecodable_message"
    template = "cannot decode the message: {reason}"


class PeerFrameError(DamaskrillError):
    """A frame from another router violates the protocol."""

    code = "peer_frame"
    template = "invalid frame from another router: {reason}"


class PeerMessageTooLargeError(DamaskrillError):
    """A message to another router exceeds the size limit."""

    code = "peer_message_too_large"
    template = "a message of {n_bytes} bytes exceeds the limit of {limit} bytes"


class PeerRefusedError(DamaskrillError):
    """The handshake with another router failed."""

    code = "peer_refused"
    template = "handshake with the router at {address} failed: {reason}"


class PeerSilentError(DamaskrillError):
    """No data was received over a connection within the time limit."""

    code = "peer_silent"
    template = "no data received from {address} for {silence_ms} ms"


class PeerUnreachableError(DamaskrillError):
    """The connection to another router cannot be opened, or it was closed."""

    code = "peer_unreachable"
    template = "the router at {address} is unreachable: {reason}"


class UnreadableLogError(DamaskrillError):
    """A log file cannot be opened or read."""

    code = "log_unreadable"
    template = "cannot read the log file {path}: {reason}"


class RequestNotLoggedError(DamaskrillError):
    """The given logs contain no line of the request."""

    code = "request_not_logged"
    template = "the given logs contain no line of request {request_id!r}"

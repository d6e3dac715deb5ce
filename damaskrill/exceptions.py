"""Typed exceptions, each with a stable code and one plain sentence.

Notes
-----
A subclass states its ``code`` and its ``template``; the template's fields are the
keyword arguments that the exception is raised with. ``ERROR_TYPES`` lists all of
them, and the reference page of error codes is generated from that list.
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
        Sentence with named fields.
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
        """Values that the sentence was made from."""
        return self._details

    @property
    def sentence(self) -> str:
        """One plain sentence for people."""
        return self.template.format(**self._details)

    def __str__(self) -> str:
        return f"{self.code}: {self.template.format(**self._details)}"


ERROR_TYPES[DamaskrillError.code] = DamaskrillError


class InvalidParameterError(DamaskrillError):
    """A parameter is outside its declared range."""

    code = "invalid_parameter"
    template = "parameter {name} is {value!r}, but must be {expected}"


class UnknownPluginError(DamaskrillError):
    """No plug-in of that kind and name has been registered."""

    code = "unknown_plugin"
    template = "no {kind} is named {name!r}; known are {known}"


class DuplicatePluginError(DamaskrillError):
    """Two plug-ins ask for the same kind and name."""

    code = "duplicate_plugin"
    template = "a {kind} named {name!r} is registered already"


class ClockWentBackError(DamaskrillError):
    """A fake clock was asked to move backwards."""

    code = "clock_went_back"
    template = "the clock shows {now_ms} ms and cannot be set to {target_ms} ms"


class UndecodableMessageError(DamaskrillError):
    """A map is not a message of a known type."""

    code = "undecodable_message"
    template = "the content is not a known message: {reason}"


class PeerFrameError(DamaskrillError):
    """A frame from another router does not follow the protocol."""

    code = "peer_frame"
    template = "the frame from the other router is invalid: {reason}"


class PeerMessageTooLargeError(DamaskrillError):
    """A message to another router exceeds the size limit."""

    code = "peer_message_too_large"
    template = "a message of {n_bytes} bytes exceeds the limit of {limit} bytes"


class PeerRefusedError(DamaskrillError):
    """The greeting with another router failed."""

    code = "peer_refused"
    template = "the router at {address} was refused: {reason}"


class PeerSilentError(DamaskrillError):
    """Nothing came over a connection for too long."""

    code = "peer_silent"
    template = "the connection to {address} was silent for {silence_ms} ms"


class PeerUnreachableError(DamaskrillError):
    """No connection to another router can be made, or it was closed."""

    code = "peer_unreachable"
    template = "the router at {address} cannot be reached: {reason}"


class UnreadableLogError(DamaskrillError):
    """A log file cannot be opened or read."""

    code = "log_unreadable"
    template = "the log file {path} cannot be read: {reason}"


class RequestNotLoggedError(DamaskrillError):
    """No line of the given logs belongs to the request."""

    code = "request_not_logged"
    template = "no line of the given logs belongs to request {request_id!r}"

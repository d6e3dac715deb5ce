"""Errors for requests that the HTTP server refuses."""

from typing import ClassVar

from damaskrill.exceptions import DamaskrillError

__all__ = [
    "BodyTooLargeError",
    "CallerError",
    "InternalCallerError",
    "InvalidBodyError",
    "InvalidFieldError",
    "MalformedHttpError",
    "MethodNotAllowedError",
    "RouterBusyError",
    "SlowSenderError",
    "UnknownPathError",
]


class CallerError(DamaskrillError):
    """A request was refused before it was processed.

    Attributes
    ----------
    status : int
        HTTP status of the answer.
    retry_after_ms : int
        Time after which a retry may succeed, in milliseconds; 0 if a retry would not
        help.
    """

    code = "caller_error"
    template = "the request cannot be accepted: {reason}"
    status: ClassVar[int] = 400
    retry_after_ms: ClassVar[int] = 0


class BodyTooLargeError(CallerError):
    """The body is longer than the limit."""

    code = "body_too_large"
    template = "the body is longer than {limit} bytes"
    status = 413


class InvalidBodyError(CallerError):
    """The body is not valid for the path."""

    code = "invalid_body"
    template = "the body is not valid: {reason}"


class InvalidFieldError(CallerError):
    """A header or field has a value that is not allowed."""

    code = "invalid_field"
    template = "{name} is not valid: it must be {expected}"


class UnknownPathError(CallerError):
    """The requested path does not exist."""

    code = "unknown_path"
    template = "the requested path does not exist"
    status = 404


class MethodNotAllowedError(CallerError):
    """The path does not support the method."""

    code = "method_not_allowed"
    template = "the path supports only {allowed}"
    status = 405


class RouterBusyError(CallerError):
    """The router is overloaded."""

    code = "router_busy"
    template = "this router is overloaded and has not run the request"
    status = 503
    retry_after_ms = 1_000


class InternalCallerError(CallerError):
    """The HTTP server failed because of an internal error."""

    code = "caller_interface_failed"
    template = "an internal error occurred; this router has not run the request"
    status = 500


class MalformedHttpError(CallerError):
    """The input is not HTTP, or its headers exceed the limits."""

    code = "malformed_http"
    template = "the HTTP request is malformed or its headers exceed the limits"


class SlowSenderError(CallerError):
    """The request was not received in time."""

    code = "slow_sender"
    template = "the request was not received completely within {limit_ms} ms"
    status = 408

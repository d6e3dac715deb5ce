"""Refusals of requests that do not fit the caller interface."""

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
    """A request was refused before anything was done with it.

    Attributes
    ----------
    status : int
        HTTP status of the answer.
    retry_after_ms : int
        When asking again may help, in milliseconds; 0 if it does not help.
    """

    code = "caller_error"
    template = "the request cannot be taken: {reason}"
    status: ClassVar[int] = 400
    retry_after_ms: ClassVar[int] = 0


class BodyTooLargeError(CallerError):
    """The body is longer than the limit."""

    code = "body_too_large"
    template = "the body is longer than {limit} bytes"
    status = 413


class InvalidBodyError(CallerError):
    """The body is not what the path expects."""

    code = "invalid_body"
    template = "the body is not valid: {reason}"


class InvalidFieldError(CallerError):
    """A header or field has a value outside its range."""

    code = "invalid_field"
    template = "{name} is not valid: it must be {expected}"


class UnknownPathError(CallerError):
    """There is nothing at the path."""

    code = "unknown_path"
    template = "there is nothing at the path asked for"
    status = 404


class MethodNotAllowedError(CallerError):
    """The path does not take the method."""

    code = "method_not_allowed"
    template = "the path takes {allowed} only"
    status = 405


class RouterBusyError(CallerError):
    """The router has too much to do already."""

    code = "router_busy"
    template = "this router has too much to do and has not run the request"
    status = 503
    retry_after_ms = 1_000


class InternalCallerError(CallerError):
    """The interface itself failed to take a request."""

    code = "caller_interface_failed"
    template = "this router failed to take the request and has not run it"
    status = 500


class MalformedHttpError(CallerError):
    """What came is not HTTP, or its headers are over the limit."""

    code = "malformed_http"
    template = "this is not a well-formed HTTP request within the limits on headers"


class SlowSenderError(CallerError):
    """The request took too long to arrive."""

    code = "slow_sender"
    template = "the request did not arrive whole within {limit_ms} ms"
    status = 408

"""Errors of traces, each with the file and the line."""

from damaskrill.exceptions import DamaskrillError

__all__ = [
    "TraceError",
    "TraceExpectationError",
    "TraceHeaderError",
    "TraceMessageError",
    "TraceNotJsonError",
    "TraceOrderError",
    "TraceRouterError",
    "TraceVersionError",
    "UnreadableTraceError",
]


class TraceError(DamaskrillError):
    """Base class of errors of unreadable traces."""

    code = "trace_invalid"
    template = "the trace is not valid"

    @property
    def location(self) -> str:
        """File and line, as ``FILE:LINE``."""
        path = self.details.get("path", "")
        line = self.details.get("line", 0)
        return f"{path}:{line}" if line else str(path)


class UnreadableTraceError(TraceError):
    """The file cannot be opened or read."""

    code = "trace_unreadable"
    template = "the file cannot be read: {reason}"


class TraceNotJsonError(TraceError):
    """A line is not a JSON object."""

    code = "trace_not_json"
    template = "the line is not a JSON object: {reason}"


class TraceHeaderError(TraceError):
    """The header is missing or invalid."""

    code = "trace_header_invalid"
    template = "the first line is not the header of a trace: {reason}"


class TraceVersionError(TraceError):
    """The trace has a format version that this release does not support."""

    code = "trace_version_unknown"
    template = "the trace has format version {version}; this release reads {known}"


class TraceMessageError(TraceError):
    """An input's message cannot be decoded."""

    code = "trace_message_invalid"
    template = "the input's message cannot be decoded: {reason}"


class TraceRouterError(TraceError):
    """A line refers to a router that the header does not list."""

    code = "trace_router_unknown"
    template = "the header lists no router {router!r}"


class TraceOrderError(TraceError):
    """A line has an earlier time than the previous line."""

    code = "trace_order_invalid"
    template = "at_ms is {at_ms}, but must be an integer not below {previous_ms}"


class TraceExpectationError(TraceError):
    """An expected outcome is of an unknown kind or lacks a field."""

    code = "trace_expectation_invalid"
    template = "the expected outcome is not valid: {reason}"

"""Bounds of the caller interface."""

from attrs import frozen

__all__ = ["CallerLimits"]


@frozen(kw_only=True)
class CallerLimits:
    """Bounds for callers.

    Parameters
    ----------
    max_body_bytes : int
        Longest body of a request.
    max_header_bytes : int
        Longest headers of a request, all together.
    max_headers : int
        Highest number of headers.
    max_connections : int
        Connections at once; further ones are closed.
    header_timeout_ms : int
        Longest time from a request's first byte to its headers' last, in milliseconds.
    body_timeout_ms : int
        Longest time from a body's first byte to its last, in milliseconds.
    idle_timeout_ms : int
        Longest time without a request on an open connection, in milliseconds.
    max_answer_bytes : int
        Longest whole answer that is held back until its end.
    max_unsent_bytes : int
        Bytes of a stream that may wait for a slow caller before it is cut.
    default_deadline_ms : int
        Time a request has when neither caller nor text states one.
    max_deadline_ms : int
        Longest time that a caller may ask for.
    """

    max_body_bytes: int = 1024 * 1024
    max_header_bytes: int = 16 * 1024
    max_headers: int = 100
    max_connections: int = 4_000
    header_timeout_ms: int = 5_000
    body_timeout_ms: int = 30_000
    idle_timeout_ms: int = 60_000
    max_answer_bytes: int = 8 * 1024 * 1024
    max_unsent_bytes: int = 1024 * 1024
    default_deadline_ms: int = 60_000
    max_deadline_ms: int = 3_600_000

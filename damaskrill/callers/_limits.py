"""Limits of the HTTP server for callers."""

from attrs import frozen

__all__ = ["CallerLimits"]


@frozen(kw_only=True)
class CallerLimits:
    """Limits for callers.

    Parameters
    ----------
    max_body_bytes : int
        Maximum size of a request body.
    max_header_bytes : int
        Maximum total size of the headers of a request.
    max_headers : int
        Maximum number of headers.
    max_connections : int
        Maximum number of concurrent connections; further ones are closed.
    header_timeout_ms : int
        Maximum time from the first byte of a request to the last of its headers, in
        milliseconds.
    body_timeout_ms : int
        Maximum time from the first byte of a body to its last, in milliseconds.
    idle_timeout_ms : int
        Maximum time without a request on an open connection, in milliseconds.
    max_answer_bytes : int
        Maximum size of an answer that is buffered until it is complete.
    max_unsent_bytes : int
        Bytes of a stream that may be buffered for a slow caller before its connection
        is aborted.
    default_deadline_ms : int
        Time limit of a request if neither the caller nor the text sets one, in
        milliseconds.
    max_deadline_ms : int
        Maximum time limit that a caller may request, in milliseconds.
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

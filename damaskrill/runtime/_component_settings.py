"""Derivation of the parameters of components from the settings."""

import sys

from damaskrill.backends import BackendLimits
from damaskrill.callers import CallerLimits
from damaskrill.configuration import Settings
from damaskrill.messages import Member
from damaskrill.traces import RotatingFileSink, StreamSink, TraceRecorder, TraceSink

__all__ = [
    "build_backend_limits",
    "build_caller_limits",
    "open_recorder",
    "split_address",
]


def build_backend_limits(settings: Settings) -> BackendLimits:
    """Build the limits of calls to backend servers."""
    return BackendLimits(
        connect_timeout_ms=settings.connect_timeout_ms,
        progress_timeout_ms=settings.progress_timeout_ms,
    )


def build_caller_limits(settings: Settings) -> CallerLimits:
    """Build the limits of the caller interface."""
    return CallerLimits(
        max_body_bytes=settings.max_body_bytes,
        max_header_bytes=settings.max_header_bytes,
        max_connections=settings.max_connections,
        header_timeout_ms=settings.header_timeout_ms,
        body_timeout_ms=settings.body_timeout_ms,
        idle_timeout_ms=settings.idle_timeout_ms,
    )


def open_recorder(
    settings: Settings, *, own: Member, random_state: int
) -> TraceRecorder | None:
    """Open the recorder of kernel inputs; return None if no output is configured."""
    if not settings.trace_output:
        return None
    sink: TraceSink
    if settings.trace_output == "-":
        sink = StreamSink(stream=sys.stdout.buffer)
    else:
        sink = RotatingFileSink(
            path=settings.trace_output, max_bytes=settings.trace_rotate_bytes
        )
    return TraceRecorder(
        own=own,
        random_state=random_state,
        sink=sink,
        sample_permille=settings.trace_sample_permille,
    )


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port`` into IP address and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)

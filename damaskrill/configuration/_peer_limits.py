"""Limits of the transport between routers."""

from attrs import frozen

__all__ = ["PeerLimits"]


@frozen(kw_only=True)
class PeerLimits:
    """Limits of sizes, counts and times, each for one process.

    Parameters
    ----------
    max_message_bytes : int
        Maximum size of a frame, including a request's body, in bytes.
    max_queued_messages : int
        Maximum number of frames queued for one peer.
    max_queued_bytes : int
        Maximum number of bytes queued for one peer, unless a single frame is larger.
    max_links : int
        Maximum number of open connections, outgoing and incoming. At the limit the
        connection that has been idle longest is closed; new ones are refused while
        none is idle.
    greeting_timeout_ms : int
        Timeout of connecting and the handshake together, in milliseconds.
    heartbeat_interval_ms : int
        Time without any sent frame after which a heartbeat is sent, in milliseconds.
    silence_timeout_ms : int
        Time without received data after which a connection is considered lost, in
        milliseconds; a multiple of the heartbeat interval.
    idle_timeout_ms : int
        Time without payloads and chunks after which a connection is closed, in
        milliseconds.
    """

    max_message_bytes: int = 16 * 1024 * 1024
    max_queued_messages: int = 1024
    max_queued_bytes: int = 32 * 1024 * 1024
    max_links: int = 1024
    greeting_timeout_ms: int = 3_000
    heartbeat_interval_ms: int = 3_000
    silence_timeout_ms: int = 9_000
    idle_timeout_ms: int = 120_000

"""Bounds of the transport between routers."""

from attrs import frozen

__all__ = ["PeerLimits"]


@frozen(kw_only=True)
class PeerLimits:
    """Bounds of sizes, counts and times; each holds for one process.

    Parameters
    ----------
    max_message_bytes : int
        Largest frame, a request's body included, in bytes.
    max_queued_messages : int
        Frames that may wait for one peer.
    max_queued_bytes : int
        Bytes that may wait for one peer, unless a single frame is larger.
    max_links : int
        Open connections, made and accepted; beyond it the longest idle one is
        closed, and new ones are refused while none is idle.
    greeting_timeout_ms : int
        Longest time from connecting to the end of the greeting, in milliseconds.
    heartbeat_interval_ms : int
        Longest time without sending anything, in milliseconds.
    silence_timeout_ms : int
        Time without receiving anything after which a connection is given up, in
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

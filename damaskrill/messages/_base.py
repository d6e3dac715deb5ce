"""Base classes of all kernel messages."""

from attrs import frozen

__all__ = ["InternalMessage", "Message", "PeerPayload", "Tick"]


@frozen(kw_only=True)
class Message:
    """Input or effect of the kernel."""


@frozen(kw_only=True)
class InternalMessage(Message):
    """Message between deciders of one kernel; it never leaves the process."""


@frozen(kw_only=True)
class PeerPayload(Message):
    """Payload of a message between two routers."""


@frozen(kw_only=True)
class Tick(Message):
    """Clock tick, which the process sends about every 100 ms."""

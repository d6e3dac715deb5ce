"""Base classes of all kernel messages."""

from attrs import frozen

__all__ = ["InternalMessage", "Message", "PeerPayload", "Tick"]


@frozen(kw_only=True)
class Message:
    """Anything that goes into or comes out of the kernel."""


@frozen(kw_only=True)
class InternalMessage(Message):
    """Passed between deciders of one kernel; never leaves it."""


@frozen(kw_only=True)
class PeerPayload(Message):
    """Content of a message between two routers."""


@frozen(kw_only=True)
class Tick(Message):
    """Says that time has passed; sent by the process about every 100 ms."""

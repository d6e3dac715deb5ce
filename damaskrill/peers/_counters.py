"""Counts of bytes between routers, by type of payload."""

from collections import Counter

from attrs import define, field

__all__ = ["ByteCounters"]


@define(kw_only=True)
class ByteCounters:
    """Bytes of frames, without the overhead of TCP and IP.

    Parameters
    ----------
    sent, received : collections.Counter of str to int
        Bytes by the name of the payload's type; frames without a payload count
        under ``Greeting``, ``Heartbeat``, ``Farewell`` and ``Chunk``.
    n_sent, n_received : collections.Counter of str to int
        Frames, likewise.
    """

    sent: Counter[str] = field(factory=Counter)
    received: Counter[str] = field(factory=Counter)
    n_sent: Counter[str] = field(factory=Counter)
    n_received: Counter[str] = field(factory=Counter)

    def count_sent(self, name: str, n_bytes: int) -> None:
        """Count one frame that was handed to the connection."""
        self.sent[name] += n_bytes
        self.n_sent[name] += 1

    def count_received(self, name: str, n_bytes: int) -> None:
        """Count one frame that came whole."""
        self.received[name] += n_bytes
        self.n_received[name] += 1

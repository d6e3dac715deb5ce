"""Traffic counters of the peer transport, by payload type."""

from collections import Counter

from attrs import define, field

__all__ = ["ByteCounters"]


@define(kw_only=True)
class ByteCounters:
    """Count frames and their bytes, without the overhead of TCP and IP.

    Parameters
    ----------
    sent, received : collections.Counter of str to int
        Bytes by the type name of the payload. Frames without a payload are counted
        as ``Greeting``, ``Heartbeat``, ``Farewell`` or ``Chunk``.
    n_sent, n_received : collections.Counter of str to int
        Number of frames, by the same names.
    """

    sent: Counter[str] = field(factory=Counter)
    received: Counter[str] = field(factory=Counter)
    n_sent: Counter[str] = field(factory=Counter)
    n_received: Counter[str] = field(factory=Counter)

    def count_sent(self, name: str, n_bytes: int) -> None:
        """Count one frame that was passed to the connection."""
        self.sent[name] += n_bytes
        self.n_sent[name] += 1

    def count_received(self, name: str, n_bytes: int) -> None:
        """Count one frame that was received completely."""
        self.received[name] += n_bytes
        self.n_received[name] += 1

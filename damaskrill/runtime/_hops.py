"""Requests and attempts received from other routers."""

from attrs import frozen

from damaskrill.relay import PeerStream

__all__ = ["Hop", "HopTable"]


@frozen(kw_only=True)
class Hop:
    """Request that another router has forwarded.

    Parameters
    ----------
    request_id : str
        ID of the request.
    stream : PeerStream
        Destination of the answer.
    """

    request_id: str
    stream: PeerStream


class HopTable:
    """Origins of forwarded requests and offered attempts until they end."""

    def __init__(self) -> None:
        self._entry_by_attempt: dict[str, str] = {}
        self._hops: dict[str, Hop] = {}

    def __len__(self) -> int:
        return len(self._entry_by_attempt) + len(self._hops)

    @property
    def attempts(self) -> tuple[str, ...]:
        """IDs of the attempts whose entry is another router."""
        return tuple(self._entry_by_attempt)

    @property
    def hops(self) -> tuple[tuple[str, Hop], ...]:
        """Pairs of hop ID and forwarded request."""
        return tuple(self._hops.items())

    def add_attempt(self, attempt_id: str, entry: str) -> None:
        """Add an attempt with the address of its entry."""
        self._entry_by_attempt[attempt_id] = entry

    def entry_of_attempt(self, attempt_id: str) -> str | None:
        """Return the address of an attempt's entry, or None for this process."""
        return self._entry_by_attempt.get(attempt_id)

    def discard_attempt(self, attempt_id: str) -> None:
        """Remove an attempt that has ended."""
        self._entry_by_attempt.pop(attempt_id, None)

    def add_hop(self, hop_id: str, hop: Hop) -> None:
        """Add a forwarded request."""
        self._hops[hop_id] = hop

    def pop_hop(self, hop_id: str) -> Hop | None:
        """Remove and return a forwarded request, or None if there is none."""
        return self._hops.pop(hop_id, None)

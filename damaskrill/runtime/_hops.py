"""Requests and attempts that came from other routers."""

from attrs import frozen

from damaskrill.relay import PeerStream

__all__ = ["Hop", "HopTable"]


@frozen(kw_only=True)
class Hop:
    """A request that another router has handed over.

    Parameters
    ----------
    request_id : str
        The request.
    stream : PeerStream
        Where the bytes of its answer go.
    """

    request_id: str
    stream: PeerStream


class HopTable:
    """What came from where, until it has ended."""

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
        """Requests that were handed over, by hop ID."""
        return tuple(self._hops.items())

    def add_attempt(self, attempt_id: str, entry: str) -> None:
        """Note the address of an attempt's entry."""
        self._entry_by_attempt[attempt_id] = entry

    def entry_of_attempt(self, attempt_id: str) -> str | None:
        """Return the address of an attempt's entry; None for this process."""
        return self._entry_by_attempt.get(attempt_id)

    def discard_attempt(self, attempt_id: str) -> None:
        """Forget an attempt that has ended."""
        self._entry_by_attempt.pop(attempt_id, None)

    def add_hop(self, hop_id: str, hop: Hop) -> None:
        """Note a request that was handed over."""
        self._hops[hop_id] = hop

    def pop_hop(self, hop_id: str) -> Hop | None:
        """Return a hop and forget it."""
        return self._hops.pop(hop_id, None)

"""Comparison of this router's replica with those of its peers."""

from damaskrill.feed._position import Position

__all__ = ["NO_DIGEST", "ReplicaComparison"]

# Digest that a peer does not send.
NO_DIGEST = 0
# Items that were written between the pages of a list are known to some routers before
# their position shows it. The next changes end such a difference within a second.
MIN_DIFFERENCE_MS = 3_000
# A list is a call that is billed, and takes some time to be read and to be compared.
LIST_INTERVAL_MS = 10_000


class ReplicaComparison:
    """Finds out that a replica lacks a change although it counts as complete.

    Notes
    -----
    Load pattern: a fault keeps a change from one replica, which goes on to receive all
    later ones. Its position does not show that, so that nothing would ever mend it: the
    router uses an older configuration, or a server that has left, for good.

    Two replicas at the same position have the same digest. If those of two routers
    differ for a while, at least one is wrong, and both read the store anew.
    """

    def __init__(self) -> None:
        self._differs_since_ms: dict[str, float] = {}
        self._listed_at_ms = float("-inf")

    def needs_list(
        self,
        peer: str,
        *,
        own: tuple[Position, int],
        other: tuple[Position, int],
        now_ms: float,
    ) -> bool:
        """Return whether the store must be read anew.

        Parameters
        ----------
        peer : str
            Address of the other router.
        own, other : tuple of (Position, int)
            Position and digest of the two replicas.
        now_ms : float
            Current time in milliseconds.
        """
        if own[0] != other[0] or other[1] == NO_DIGEST:
            # Nothing is shown, neither that they differ nor that they are the same.
            return False
        if own == other:
            self._differs_since_ms.pop(peer, None)
            return False
        since_ms = self._differs_since_ms.setdefault(peer, now_ms)
        is_due = now_ms - self._listed_at_ms >= LIST_INTERVAL_MS
        if now_ms - since_ms < MIN_DIFFERENCE_MS or not is_due:
            return False
        self._listed_at_ms = now_ms
        self._differs_since_ms.clear()
        return True

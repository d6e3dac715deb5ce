"""How old the copy of the store is, and whether this router should read the store."""

__all__ = ["Freshness"]

# A copy older than this is out of date: the readers have failed, or are cut off.
# Half of the shortest time in which a leaving server must get nothing new (2,000 ms).
MAX_AGE_MS = 1_200
# A gap longer than this counts as the store having been away.
OUTAGE_GAP_MS = 2_500


class Freshness:
    """Time of the last contact with the store, of this router or of any peer.

    Notes
    -----
    Peers tell each other the age of their last contact, so that a router that does
    not read the store itself knows when the readers no longer reach it.
    """

    def __init__(self) -> None:
        self._contact_at_ms: int | None = None

    def age_ms(self, now_ms: int) -> int | None:
        """Return the copy's age in milliseconds; None before the first contact."""
        if self._contact_at_ms is None:
            return None
        return now_ms - self._contact_at_ms

    def is_fresh(self, now_ms: int) -> bool:
        """Whether a change would have been seen by now."""
        age_ms = self.age_ms(now_ms)
        return age_ms is not None and age_ms <= MAX_AGE_MS

    def mark_stale(self) -> None:
        """Take the copy as out of date, as after a pause of the process."""
        self._contact_at_ms = None

    def record_contact(self, at_ms: int) -> bool:
        """Take a contact of this router or of a peer.

        Returns
        -------
        bool
            Whether the store had been away until then.
        """
        previous = self._contact_at_ms
        if previous is not None and at_ms <= previous:
            return False
        # Peers round ages, so that an old contact may seem a little newer.
        had_outage = previous is not None and at_ms - previous > OUTAGE_GAP_MS
        self._contact_at_ms = at_ms
        return had_outage

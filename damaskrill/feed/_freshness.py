"""Age of the store's replica."""

__all__ = ["Freshness"]

# A replica older than this fraction of the time within which a leaving server must get
# no new requests is stale: the readers have failed or are partitioned. The rest is left
# for reading the store.
MAX_AGE_FRACTION = 0.6
# Routers that do not replace the readers first wait longer by this factor.
STANDBY_FACTOR = 1.25
# A gap between contacts that is longer than this counts as an outage of the store.
OUTAGE_GAP_MS = 2_500


class Freshness:
    """Time of the last contact with the store, by this router or by any peer.

    Parameters
    ----------
    leaving_limit_ms : float, default=2_000
        Time within which a leaving server must get no new requests, in milliseconds.

    Notes
    -----
    Routers send each other the age of their last contact. A router that does not read
    the store itself can thus detect that the readers no longer reach it.
    """

    def __init__(self, *, leaving_limit_ms: float = 2_000) -> None:
        self._max_age_ms = MAX_AGE_FRACTION * leaving_limit_ms
        self._contact_at_ms: int | None = None

    def age_ms(self, now_ms: int) -> int | None:
        """Return the replica's age in milliseconds; None before the first contact."""
        if self._contact_at_ms is None:
            return None
        return now_ms - self._contact_at_ms

    def is_fresh(self, now_ms: int, *, is_standby: bool = True) -> bool:
        """Return whether a change in the store would be in the replica by now.

        Parameters
        ----------
        now_ms : int
            Current time in milliseconds.
        is_standby : bool, default=True
            False for a router that lets others replace the readers first, so that a
            large fleet does not call the store all at once.
        """
        age_ms = self.age_ms(now_ms)
        if age_ms is None:
            return False
        return age_ms <= self._max_age_ms * (1.0 if is_standby else STANDBY_FACTOR)

    def mark_stale(self) -> None:
        """Treat the replica as stale, for example after a pause of the process."""
        self._contact_at_ms = None

    def record_contact(self, at_ms: int) -> bool:
        """Record a contact of this router or of a peer with the store.

        Returns
        -------
        bool
            Whether this contact ends an outage of the store.
        """
        previous = self._contact_at_ms
        if previous is not None and at_ms <= previous:
            return False
        # Peers round ages, so an old contact may appear slightly newer than it is.
        had_outage = previous is not None and at_ms - previous > OUTAGE_GAP_MS
        self._contact_at_ms = at_ms
        return had_outage

"""Age of the store's replica."""

from collections.abc import Iterable

from attrs import frozen

__all__ = ["Contact", "Freshness"]

# A replica older than this fraction of the time within which a leaving server must get
# no new requests is stale: the readers have failed or are partitioned. The rest is left
# for reading the store and for the way of a change through a large fleet of slow hosts.
MAX_AGE_FRACTION = 0.4
# Routers that do not replace the readers first wait longer by this factor.
STANDBY_FACTOR = 1.25
# A gap between contacts that is longer than this counts as an outage of the store.
OUTAGE_GAP_MS = 2_500
# Longer than a contact needs to cross the fleet. After this time a router may count its
# contacts anew, if its clock was set back before it restarted.
NUMBER_RETENTION_MS = 30_000


@frozen
class Contact:
    """Contact of a router with the store.

    Parameters
    ----------
    origin : int
        Short hash of the address of the router that reached the store.
    number : int
        Number of the contact, which increases with each contact of that router.
    age_ms : int
        Time since the contact, in milliseconds.
    """

    origin: int
    number: int
    age_ms: int


class Freshness:
    """Time of the last contact with the store, by this router or by any peer.

    Parameters
    ----------
    leaving_limit_ms : float, default=2_000
        Time within which a leaving server must get no new requests, in milliseconds.
    origin : int, default=0
        Short hash of this router's address.
    first_number : int, default=0
        Number before this router's first contact. It must be larger than all numbers
        that earlier processes of this router used.

    Notes
    -----
    Routers send each other the newest contact that they know. A router that does not
    read the store itself can thus detect that the readers no longer reach it. Each
    contact counts once at each router: its age does not include the time in transit,
    so that a contact which circulates between routers would become newer and newer.
    """

    def __init__(
        self,
        *,
        leaving_limit_ms: float = 2_000,
        origin: int = 0,
        first_number: int = 0,
    ) -> None:
        self._max_age_ms = MAX_AGE_FRACTION * leaving_limit_ms
        self._origin = origin
        self._number = first_number
        self._contact_at_ms: int | None = None
        self._newest = (0, 0)
        # Number of the newest contact of each router, and when it became known.
        self._numbers: dict[int, tuple[int, int]] = {}

    @property
    def max_age_ms(self) -> float:
        """Age from which on the replica is stale, in milliseconds."""
        return self._max_age_ms

    @property
    def newest(self) -> tuple[int, int]:
        """Origin and number of the newest contact."""
        return self._newest

    def age_ms(self, now_ms: int) -> int | None:
        """Return the replica's age in milliseconds; None before the first contact."""
        if self._contact_at_ms is None:
            return None
        return now_ms - self._contact_at_ms

    def contact(self, now_ms: int) -> Contact | None:
        """Return the newest contact, to be sent to peers; None before the first one."""
        age_ms = self.age_ms(now_ms)
        return None if age_ms is None else Contact(*self._newest, age_ms)

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

    def own_contact_age_ms(self, now_ms: int) -> float:
        """Return the time since this router itself reached the store."""
        return now_ms - self._known_at_ms(self._origin)

    def has_contact_since(self, origins: Iterable[int], since_ms: int) -> bool:
        """Return whether a contact of some router has become known since a time.

        Parameters
        ----------
        origins : iterable of int
            Short hashes of the routers' addresses.
        since_ms : int
            The time in milliseconds.
        """
        return any(self._known_at_ms(each) > since_ms for each in origins)

    def _known_at_ms(self, origin: int) -> float:
        known = self._numbers.get(origin)
        return float("-inf") if known is None else known[1]

    def mark_stale(self) -> None:
        """Treat the replica as stale, for example after a pause of the process."""
        self._contact_at_ms = None

    def record_own(self, now_ms: int) -> bool:
        """Record a contact of this router; return whether it ends an outage."""
        self._number += 1
        return self.record(Contact(self._origin, self._number, 0), now_ms)

    def record(self, contact: Contact, now_ms: int) -> bool:
        """Record a contact of this router or of a peer with the store.

        Returns
        -------
        bool
            Whether this contact ends an outage of the store.
        """
        number, known_at_ms = self._numbers.get(contact.origin, (0, 0))
        if contact.number <= number and now_ms - known_at_ms <= NUMBER_RETENTION_MS:
            return False
        self._numbers[contact.origin] = (contact.number, now_ms)
        at_ms = now_ms - contact.age_ms
        previous = self._contact_at_ms
        if previous is not None and at_ms <= previous:
            return False
        self._contact_at_ms = at_ms
        self._newest = (contact.origin, contact.number)
        return previous is not None and at_ms - previous > OUTAGE_GAP_MS

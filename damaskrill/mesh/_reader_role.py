"""Decides whether a router reads the store or relies on others that do."""

from damaskrill.feed import FeedReplica, Freshness
from damaskrill.mesh._members import MemberTable

__all__ = ["ReaderRole"]


class ReaderRole:
    """Whether this router reads the store now.

    Parameters
    ----------
    members : MemberTable
        Live routers, which rank the readers.
    freshness : Freshness
        Age of the replica, by the contacts of all routers.
    replica : FeedReplica
        Replica of the store.

    Notes
    -----
    Load pattern: the readers lose the store for seconds, alone or with a third of the
    fleet, while versions come in quick succession.

    A router whose replica is stale reads the store. If it reaches it, it goes on until
    a router that ranks before it does, as the readers that it replaces may be away for
    long: if it stopped, each change would wait until the replicas are stale again.
    """

    def __init__(
        self, *, members: MemberTable, freshness: Freshness, replica: FeedReplica
    ) -> None:
        self._members = members
        self._freshness = freshness
        self._replica = replica
        # Since when this router has replaced the readers.
        self._replaces_since_ms: int | None = None

    def should_read(self, now_ms: int) -> bool:
        """Return whether to read the store.

        Parameters
        ----------
        now_ms : int
            Current time in milliseconds.
        """
        if not self._replica.revision or self._members.is_reader():
            return True
        if not self._is_fresh(now_ms):
            return True
        return self._replaces_since_ms is not None and self._must_go_on(
            now_ms, self._replaces_since_ms
        )

    def record_read(self, now_ms: int) -> None:
        """Record that this router reached the store, before its contact is recorded."""
        if self._members.is_reader():
            self._replaces_since_ms = None
        elif self._freshness.age_ms(now_ms) is not None and not self._is_fresh(now_ms):
            self._replaces_since_ms = now_ms

    def _is_fresh(self, now_ms: int) -> bool:
        is_standby = self._members.is_standby_reader()
        return self._freshness.is_fresh(now_ms, is_standby=is_standby)

    def _must_go_on(self, now_ms: int, since_ms: int) -> bool:
        freshness = self._freshness
        has_lost_store = freshness.own_contact_age_ms(now_ms) > freshness.max_age_ms
        is_relieved = freshness.has_contact_since(
            self._members.readers_before(), since_ms
        )
        if has_lost_store or is_relieved:
            self._replaces_since_ms = None
        return self._replaces_since_ms is not None

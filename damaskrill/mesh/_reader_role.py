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
    """

    def __init__(
        self, *, members: MemberTable, freshness: Freshness, replica: FeedReplica
    ) -> None:
        self._members = members
        self._freshness = freshness
        self._replica = replica

    def should_read(self, now_ms: int) -> bool:
        """Return whether to read the store.

        Parameters
        ----------
        now_ms : int
            Current time in milliseconds.
        """
        if not self._replica.revision or self._members.is_reader():
            return True
        return not self._freshness.is_fresh(
            now_ms, is_standby=self._members.is_standby_reader()
        )

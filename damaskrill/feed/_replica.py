"""Replica of the store's items, complete up to a revision."""

from collections import deque
from collections.abc import Iterable, Sequence

from attrs import frozen

__all__ = ["Change", "FeedReplica"]

# Changes retained for peers that lag behind; a peer that needs older ones gets the full
# replica.
MAX_RETAINED_CHANGES = 2_000


@frozen(kw_only=True)
class Change:
    """Write or removal of an item.

    Parameters
    ----------
    key : str
        Key of the item.
    value : bytes or None
        Written value; None if the item was removed.
    revision : int
        Revision of the store at which the change was made.
    """

    key: str
    value: bytes | None
    revision: int


class FeedReplica:
    """Replica of the store's items, updated from the store or from peers.

    Notes
    -----
    The replica contains all changes up to ``revision``. The changes of each key are
    applied in the order of their revisions: one that arrives out of order is ignored.
    """

    def __init__(self) -> None:
        self._items: dict[str, Change] = {}
        self._tombstones: dict[str, int] = {}
        self._revision = 0
        self._log: deque[Change] = deque()
        self._log_start = 0

    @property
    def revision(self) -> int:
        """Revision up to which the replica is complete; 0 before the first list."""
        return self._revision

    @property
    def items(self) -> list[Change]:
        """All current items."""
        return list(self._items.values())

    def apply_changes(
        self, changes: Iterable[Change], at_revision: int
    ) -> list[Change]:
        """Apply changes that follow the replica's revision without a gap.

        Returns
        -------
        list of Change
            Changes that had an effect on the replica.
        """
        applied = [each for each in changes if self._apply(each)]
        self._revision = max(self._revision, at_revision)
        return applied

    def apply_list(self, items: Sequence[Change], at_revision: int) -> list[Change]:
        """Apply a complete list of the store's items as of a revision or later."""
        if at_revision < self._revision:
            return []
        applied = [each for each in items if self._apply(each)]
        listed = {each.key for each in items}
        for key, current in list(self._items.items()):
            if key not in listed and current.revision <= at_revision:
                removal = Change(key=key, value=None, revision=at_revision)
                applied += [removal] if self._apply(removal) else []
        if not self._revision:
            self._log_start = at_revision
        self._revision = at_revision
        return applied

    def changes_after(self, revision: int) -> list[Change] | None:
        """Return the changes after a revision; None if not all are retained."""
        if revision < self._log_start or not self._revision:
            return None
        return [each for each in self._log if each.revision > revision]

    def _apply(self, change: Change) -> bool:
        current = self._items.get(change.key)
        last = current.revision if current else self._tombstones.get(change.key, 0)
        if change.revision <= last:
            return False
        if change.value is None:
            self._tombstones[change.key] = change.revision
            if current is None:
                return False
            del self._items[change.key]
        else:
            self._items[change.key] = change
            self._tombstones.pop(change.key, None)
        self._log.append(change)
        if len(self._log) > MAX_RETAINED_CHANGES:
            self._log_start = self._log.popleft().revision
        return True

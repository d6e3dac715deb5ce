"""Items of the store by key, complete up to a revision."""

from collections import deque
from collections.abc import Iterable, Sequence

from attrs import frozen

__all__ = ["Change", "FeedReplica"]

# Changes kept for peers that are behind; older ones are sent as a whole copy.
MAX_RETAINED_CHANGES = 2_000


@frozen(kw_only=True)
class Change:
    """A written item, or a removed one.

    Parameters
    ----------
    key : str
        Key of the item.
    value : bytes or None
        What was written; None if the item was removed.
    revision : int
        Revision of the store at which this happened.
    """

    key: str
    value: bytes | None
    revision: int


class FeedReplica:
    """Items that a router knows, from the store itself or from peers.

    Notes
    -----
    All changes up to ``revision`` are in. Changes are applied for each key in the
    order of their revisions, whatever the order in which they come.
    """

    def __init__(self) -> None:
        self._items: dict[str, Change] = {}
        self._tombstones: dict[str, int] = {}
        self._revision = 0
        self._log: deque[Change] = deque()
        self._log_start = 0

    @property
    def revision(self) -> int:
        """Revision up to which the copy is complete; 0 before the first list."""
        return self._revision

    @property
    def items(self) -> list[Change]:
        """All present items."""
        return list(self._items.values())

    def apply_changes(
        self, changes: Iterable[Change], at_revision: int
    ) -> list[Change]:
        """Take changes that follow the copy's revision without a gap.

        Returns
        -------
        list of Change
            Those that changed the copy.
        """
        applied = [each for each in changes if self._apply(each)]
        self._revision = max(self._revision, at_revision)
        return applied

    def apply_list(self, items: Sequence[Change], at_revision: int) -> list[Change]:
        """Take a whole list of the store's items as of a revision or later."""
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
        """Return the changes after a revision; None if they are not all kept."""
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

"""Replica of the store's items, complete up to a position in its history."""

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from functools import reduce
from operator import xor

from attrs import evolve, frozen

from damaskrill.feed._position import START, Position
from damaskrill.utils import hash_to_int

__all__ = ["Change", "FeedReplica", "ListedChanges"]

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


@frozen(kw_only=True)
class ListedChanges:
    """Effect of a complete list on the replica.

    Parameters
    ----------
    changes : tuple of Change
        Changes that the list makes to the replica.
    is_restored : bool
        Whether the list begins a new era, so that its items may be older than those
        that they replace.
    """

    changes: tuple[Change, ...] = ()
    is_restored: bool = False


class FeedReplica:
    """Replica of the store's items, updated from the store or from peers.

    Parameters
    ----------
    is_retained : callable, default=None
        Returns whether an item with a key is retained when the store loses it; all are
        if None.

    Notes
    -----
    The replica contains all changes up to ``position``. Within an era, the changes of
    each key are applied in the order of their revisions: one that arrives out of order
    is ignored. A new era begins with a complete list, and nothing of an earlier era is
    applied after it. The items that the store lost at that moment are retained, so that
    routers that start later learn of them too.
    """

    def __init__(self, *, is_retained: Callable[[str], bool] | None = None) -> None:
        self._is_retained = is_retained or _is_any
        self._items: dict[str, Change] = {}
        self._tombstones: dict[str, int] = {}
        self._superseded: dict[str, Change] = {}
        self._position = START
        self._log: deque[Change] = deque()
        self._log_start = 0
        # None if items have changed since.
        self._digest: int | None = None

    @property
    def position(self) -> Position:
        """Position up to which the replica is complete."""
        return self._position

    @property
    def revision(self) -> int:
        """Revision of the position; 0 before the first list."""
        return self._position.revision

    @property
    def digest(self) -> int:
        """Digest of the keys and revisions of all current items; never 0."""
        if self._digest is None:
            hashes = (
                hash_to_int(f"{each.key}\0{each.revision}")
                for each in self._items.values()
            )
            self._digest = reduce(xor, hashes, 0) or 1
        return self._digest

    @property
    def n_bytes(self) -> int:
        """Length of all current items, in bytes."""
        return sum(len(each.value or b"") for each in self._items.values())

    @property
    def items(self) -> list[Change]:
        """All current items."""
        return list(self._items.values())

    @property
    def superseded(self) -> list[Change]:
        """Items of earlier eras that the store lost when it was restored."""
        return list(self._superseded.values())

    def apply_changes(self, changes: Iterable[Change], at: Position) -> list[Change]:
        """Apply changes that follow the replica's position without a gap.

        Parameters
        ----------
        changes : iterable of Change
            Changes of one era.
        at : Position
            Position up to which the replica is complete with them.

        Returns
        -------
        list of Change
            Changes that had an effect on the replica; none if they belong to another
            era.
        """
        if at.era != self._position.era:
            return []
        applied = [each for each in changes if self._apply(each)]
        self._position = max(self._position, at)
        return applied

    def apply_list(self, items: Sequence[Change], at: Position) -> ListedChanges:
        """Apply a complete list of the store's items as of a position or later.

        Parameters
        ----------
        items : sequence of Change
            All items of the store.
        at : Position
            Position of the list; an older one than the replica's has no effect.
        """
        if at < self._position:
            return ListedChanges()
        if at.era == self._position.era:
            return ListedChanges(changes=tuple(self._update_to(items, at)))
        is_restored = self._position.revision > 0
        changes = self._begin_era(items, at)
        return ListedChanges(changes=tuple(changes), is_restored=is_restored)

    def add_superseded(self, items: Iterable[Change], era: int) -> list[Change]:
        """Retain items that a peer saw before the store lost them.

        Parameters
        ----------
        items : iterable of Change
            Items that the peer retains.
        era : int
            Era that the store was in when it lost them.

        Returns
        -------
        list of Change
            Items that this replica has not retained before.
        """
        if era != self._position.era:
            return []
        unknown = [each for each in items if self._is_unknown(each)]
        self._superseded.update({each.key: each for each in unknown})
        return unknown

    def changes_after(self, revision: int) -> list[Change] | None:
        """Return the changes after a revision; None if not all are retained.

        Notes
        -----
        Of several changes of a key only the newest is returned.
        """
        if revision < self._log_start or not self._position.revision:
            return None
        newest = {each.key: each for each in self._log if each.revision > revision}
        return sorted(newest.values(), key=lambda each: each.revision)

    def _is_unknown(self, superseded: Change) -> bool:
        # A later write of the key is newer than what the store has lost.
        return (
            superseded.key not in self._superseded
            and superseded.key not in self._tombstones
            and superseded.value is not None
        )

    def _update_to(self, items: Sequence[Change], at: Position) -> list[Change]:
        applied = [each for each in items if self._apply(each)]
        listed = {each.key for each in items}
        for key, current in list(self._items.items()):
            if key not in listed and current.revision <= at.revision:
                removal = Change(key=key, value=None, revision=at.revision)
                applied += [removal] if self._apply(removal) else []
        # Items that were written and removed between the two positions are not known.
        self._start_log(at)
        return applied

    def _start_log(self, at: Position) -> None:
        """Begin the log at the position of a list."""
        # The pages of a list are not a snapshot: items that were written between them
        # are known already, and the watch that follows is ignored for these. Peers that
        # stand at the position of the list have yet to be sent them.
        later = [each for each in self._items.values() if each.revision > at.revision]
        self._log = deque(sorted(later, key=lambda each: each.revision))
        self._log_start = at.revision
        self._position = at

    def _begin_era(self, items: Sequence[Change], at: Position) -> list[Change]:
        previous = self._items
        listed = {each.key: each for each in items}
        lost = {
            key: change
            for key, change in previous.items()
            if key not in listed or listed[key].value != change.value
        }
        known = {**self._superseded, **lost}
        self._superseded = {
            key: change
            for key, change in known.items()
            if self._is_retained(key)
            and (key not in listed or listed[key].value != change.value)
        }
        self._items = listed
        self._digest = None
        self._tombstones.clear()
        self._start_log(at)
        written = [
            each
            for key, each in listed.items()
            if key not in previous or previous[key].value != each.value
        ]
        removed = [
            evolve(change, value=None, revision=at.revision)
            for key, change in lost.items()
            if key not in listed
        ]
        return written + removed

    def _apply(self, change: Change) -> bool:
        current = self._items.get(change.key)
        last = current.revision if current else self._tombstones.get(change.key, 0)
        if change.revision <= last:
            return False
        self._superseded.pop(change.key, None)
        self._digest = None
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
            # Changes that follow a list may be older than some of its items.
            self._log_start = max(self._log_start, self._log.popleft().revision)
        return True


def _is_any(key: str) -> bool:
    return True

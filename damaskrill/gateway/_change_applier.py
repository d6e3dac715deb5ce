"""Application of the store's changes to the catalog, each apart from the others."""

from collections.abc import Callable, Iterable

from damaskrill.catalog import Catalog, CatalogItem
from damaskrill.eventlog import DecisionLog
from damaskrill.feed import Change

__all__ = ["ChangeApplier"]

# Bounds the time that a round spends on changes that fail each time.
MAX_RETRIED = 100


class ChangeApplier:
    """Applies changes of the store's items to the catalog.

    Parameters
    ----------
    catalog : Catalog
        Configuration and servers.
    decode : callable
        Decodes an item from its key and value.
    log : DecisionLog
        Log of decisions.

    Notes
    -----
    Load pattern: several changes arrive in one answer of the store or one message of a
    peer, and one of them cannot be applied. The replica counts all of them as received,
    so that nobody sends the others again: these are applied, and the one that failed is
    tried again until it succeeds or a later change of its key replaces it.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        decode: Callable[[str, bytes], CatalogItem],
        log: DecisionLog,
    ) -> None:
        self._catalog = catalog
        self._decode = decode
        self._log = log
        self._failed: dict[str, tuple[Change, bool]] = {}

    @property
    def n_failed(self) -> int:
        """Number of changes that the replica has and the catalog has not."""
        return len(self._failed)

    def apply(
        self, changes: Iterable[Change], now_ms: int, *, is_restored: bool = False
    ) -> None:
        """Apply changes in their order.

        Parameters
        ----------
        changes : iterable of Change
            The changes.
        now_ms : int
            Current time in milliseconds.
        is_restored : bool, default=False
            Whether they come from a store that has been restored from a copy.
        """
        for change in changes:
            self._failed.pop(change.key, None)
            self._try(change, now_ms, is_restored=is_restored, is_first=True)

    def retry(self, now_ms: int) -> bool:
        """Try the changes again that have failed; return whether one was applied."""
        n_before = self.n_failed
        for change, is_restored in list(self._failed.values())[:MAX_RETRIED]:
            del self._failed[change.key]
            self._try(change, now_ms, is_restored=is_restored, is_first=False)
        return self.n_failed < n_before

    def _try(
        self, change: Change, now_ms: int, *, is_restored: bool, is_first: bool
    ) -> None:
        try:
            item = self._decode(change.key, change.value or b"")
            if change.value is None:
                self._catalog.remove(item, now_ms, is_restored=is_restored)
            else:
                self._catalog.put(item, now_ms, is_restored=is_restored)
        except Exception as error:
            # Whatever is wrong with this change must not keep the others from being
            # applied, nor the process from serving.
            self._failed[change.key] = (change, is_restored)
            if is_first:
                self._log.warn(
                    "change_not_applied",
                    key=change.key,
                    revision=change.revision,
                    sentence=f"{type(error).__name__}: {error}"[:300],
                )
        else:
            if not is_first:
                self._log.write(
                    "change_applied", key=change.key, revision=change.revision
                )

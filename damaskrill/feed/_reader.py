"""Reader that lists and watches the store while this router is one of its readers."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from random import Random

from attrs import frozen

from damaskrill.exceptions import DamaskrillError
from damaskrill.feed._errors import (
    HistoryExpiredError,
    StoreOutdatedError,
    StoreRefusedError,
    StoreRestoredError,
)
from damaskrill.feed._position import Position
from damaskrill.feed._replica import Change, FeedReplica, ListedChanges

__all__ = ["STARTUP_BACKOFF_MS", "BaseStoreClient", "FeedReader", "Page"]

# How long a watch waits for changes, as a fraction of the time within which a leaving
# server must get no new requests. Its end confirms that the store still answers; the
# rest of the replica's maximum age is left for this contact to propagate in the fleet.
WATCH_WAIT_FRACTION = 0.25
# Changes within this time are read by one call, because calls to the store are billed.
COALESCE_MS = 250
# Backoff between calls to a failing store: short enough to detect its recovery within
# a second, long enough to limit the number of billed calls.
INITIAL_BACKOFF_MS = 100
MAX_BACKOFF_MS = 800
# Maximum backoff before the first list: nothing can be served until then, so the store
# is called more often.
STARTUP_BACKOFF_MS = 150
# Changes of this size take a host with a small link so long that further ones may be
# written meanwhile.
LARGE_PAGE_BYTES = 100_000
# How often a router that is not a reader checks whether it has become one.
IDLE_POLL_MS = 100


@frozen(kw_only=True)
class Page:
    """Changes or items of the store as of a position."""

    changes: tuple[Change, ...]
    at: Position


class BaseStoreClient(ABC):
    """Client of the platform's store."""

    @abstractmethod
    async def list_items(self) -> Page:
        """Read all items that routers use."""

    @abstractmethod
    async def watch(self, *, after: Position, wait_ms: int) -> Page:
        """Wait for changes after a position, at most ``wait_ms`` milliseconds."""

    async def read_position(self, *, after: Position) -> Position:
        """Return the store's present position, without changes."""
        return after

    async def has_history(self, *, after: Position) -> bool:
        """Return whether the store still has all changes after a position."""
        return False

    async def read_server_changes(self, *, after: Position) -> tuple[Change, ...]:
        """Read the changes of backend servers' entries after a position.

        Raises
        ------
        HistoryExpiredError
            If the store does not have all of them any more.
        """
        raise HistoryExpiredError(revision=after.revision)


class FeedReader:
    """Updates a ``FeedReplica`` from the store.

    Parameters
    ----------
    client : BaseStoreClient
        Client of the store.
    replica : FeedReplica
        Replica to update.
    should_read : callable
        Returns whether this router is a reader now.
    on_changes : callable
        Called with the applied changes.
    report : callable
        Called with an event name and its fields.
    random_state : Random
        Adds jitter to the retries of several routers.
    leaving_limit_ms : float, default=2_000
        Time within which a leaving server must get no new requests, in milliseconds.
    """

    def __init__(
        self,
        *,
        client: BaseStoreClient,
        replica: FeedReplica,
        should_read: Callable[[], bool],
        on_changes: Callable[[ListedChanges], None],
        report: Callable[..., None],
        random_state: Random,
        leaving_limit_ms: float = 2_000,
    ) -> None:
        self._watch_wait_ms = round(WATCH_WAIT_FRACTION * leaving_limit_ms)
        self._client = client
        self._replica = replica
        self._should_read = should_read
        self._on_changes = on_changes
        self._report = report
        self._random = random_state
        self._backoff_ms = 0
        self._needs_relist = False
        # A router that is not a reader reads one list all the same.
        self._must_list = False
        self._n_read_bytes = 0
        self._is_unreachable = False
        self._n_calls = 0

    @property
    def n_calls(self) -> int:
        """Number of calls to the store so far."""
        return self._n_calls

    def request_list(self) -> None:
        """Read the store anew, also if this router is not a reader."""
        self._needs_relist = self._must_list = True

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            if not (self._should_read() or self._must_list):
                await asyncio.sleep(IDLE_POLL_MS / 1_000)
                continue
            try:
                await self._read_once()
            except HistoryExpiredError as error:
                self._needs_relist = True
                self._report("store_history_gone", sentence=error.sentence)
            except StoreRestoredError:
                self._needs_relist = True
            except DamaskrillError as error:
                await self._back_off(error)

    async def _read_once(self) -> None:
        self._n_calls += 1
        is_new = self._needs_relist or not self._replica.revision
        if is_new or await self._is_list_shorter():
            await self._read_list()
            return
        after = self._replica.position
        page = await self._client.watch(after=after, wait_ms=self._watch_wait_ms)
        if page.at.era != after.era or self._replica.position.era != after.era:
            # Revisions of different eras are not comparable, and the replica may have
            # received another era from a peer during the call.
            raise StoreRestoredError(era=page.at.era)
        applied = self._replica.apply_changes(page.changes, page.at)
        self._handle_page(ListedChanges(changes=tuple(applied)))
        self._n_read_bytes = _count_bytes(page.changes)
        if page.changes:
            await asyncio.sleep(COALESCE_MS / 1_000)

    async def _read_list(self) -> None:
        page = await self._client.list_items()
        if page.at < self._replica.position:
            raise StoreOutdatedError(era=page.at.era)
        listed = self._replica.apply_list(page.changes, page.at)
        self._needs_relist = self._must_list = False
        self._n_read_bytes = _count_bytes(listed.changes)
        if listed.is_restored:
            position = self._replica.position
            self._report("store_restored", era=position.era, revision=position.revision)
        self._handle_page(listed)
        if self._n_read_bytes >= LARGE_PAGE_BYTES:
            await asyncio.sleep(COALESCE_MS / 1_000)

    async def _is_list_shorter(self) -> bool:
        """Return whether a list probably takes less than the changes of a watch.

        Notes
        -----
        Load pattern: large versions in quick succession. A watch returns each version
        since the last call, so that a reader with a small link falls further and
        further behind. A list has only the newest version, beside all other items.
        """
        n_bytes = self._n_read_bytes
        if n_bytes < LARGE_PAGE_BYTES or self._replica.n_bytes > 2 * n_bytes:
            return False
        self._n_calls += 1
        position = self._replica.position
        at = await self._client.read_position(after=position)
        return at.era == position.era and at.revision >= position.revision + 2

    def _handle_page(self, listed: ListedChanges) -> None:
        if self._is_unreachable:
            self._is_unreachable = False
            self._report("store_regained", revision=self._replica.revision)
        self._backoff_ms = 0
        self._on_changes(listed)

    async def _back_off(self, error: DamaskrillError) -> None:
        if not self._is_unreachable:
            self._is_unreachable = True
            self._report("store_lost", code=error.code, sentence=error.sentence)
        doubled = self._backoff_ms * 2 or INITIAL_BACKOFF_MS
        self._backoff_ms = min(doubled, MAX_BACKOFF_MS)
        factor = 2 if isinstance(error, StoreRefusedError) else 1
        wait_ms: float = self._backoff_ms * factor
        if not self._replica.revision:
            wait_ms = min(wait_ms, STARTUP_BACKOFF_MS)
        wait_ms *= self._random.uniform(0.5, 1.0)
        await asyncio.sleep(wait_ms / 1_000)


def _count_bytes(changes: Iterable[Change]) -> int:
    return sum(len(each.value or b"") for each in changes)

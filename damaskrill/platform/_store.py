"""Client of the platform's store."""

import base64
from typing import Any
from urllib.parse import urlencode

import orjson

from damaskrill.feed import (
    BaseStoreClient,
    Change,
    HistoryExpiredError,
    Page,
    Position,
    StoreAnswerError,
    StoreRefusedError,
    StoreRestoredError,
    StoreUnreachableError,
)
from damaskrill.http1 import AnswerHead, OutgoingRequest, ServerConnection, fetch
from damaskrill.platform._items import INVALID_VALUE, SERVER_PREFIX
from damaskrill.platform._values import read_number

__all__ = ["PlatformStore"]

LIST_PATH = "/damaskrill/kv-range"
WATCH_PATH = "/damaskrill/kv-watch"
# Empty, so that one call covers the operators' items and the servers' entries.
ALL_ITEMS_PREFIX = ""
# Of no item, so that a watch only tells whether the store has the history.
NO_ITEMS_PREFIX = "none/"
# Counts how often the store has been restored from a copy.
ERA_HEADER = b"store-era"
# Time that an answer may take beyond the wait of a watch, as the store may be slow.
ANSWER_TIMEOUT_MS = 1_500
# Longer numbers have no place in 64 bits.
MAX_DIGITS = 18
STATUS_OK = 200
STATUS_GONE = 410


class PlatformStore(BaseStoreClient):
    """Client that reads the platform's store over one connection.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    address : tuple of (str, int)
        Address of the store.
    """

    def __init__(self, *, reactor: Any, address: tuple[str, int]) -> None:
        self._reactor = reactor
        self._address = address
        self._connection: ServerConnection | None = None

    async def list_items(self) -> Page:
        """Read all items, page by page."""
        changes: list[Change] = []
        start: Position | None = None
        query = {"prefix": ALL_ITEMS_PREFIX}
        while True:
            content, at = await self._call(LIST_PATH, query, "items", wait_ms=0)
            page = [_to_change(each) for each in content["items"]]
            changes += page
            # The pages are not a snapshot. The revision of the first page is used, so
            # that the watch reads changes made between pages again.
            start = start or at
            if at.era != start.era:
                raise StoreRestoredError(era=at.era)
            if not content.get("hasMore") or not page:
                return Page(changes=tuple(changes), at=start)
            query["after"] = page[-1].key

    async def watch(self, *, after: Position, wait_ms: int) -> Page:
        """Wait for changes after a position."""
        query = {
            "prefix": ALL_ITEMS_PREFIX,
            "after": after.revision,
            "maxWaitMs": wait_ms,
        }
        content, at = await self._call(WATCH_PATH, query, "events", wait_ms=wait_ms)
        changes = tuple(_to_change(each) for each in content["events"])
        return Page(changes=changes, at=at)

    async def read_position(self, *, after: Position) -> Position:
        """Return the store's present position, without changes."""
        query = {"prefix": NO_ITEMS_PREFIX, "after": after.revision, "maxWaitMs": 1}
        _, at = await self._call(WATCH_PATH, query, "events", wait_ms=1)
        return at

    async def has_history(self, *, after: Position) -> bool:
        """Return whether the store still has all changes after a position."""
        try:
            await self._read_changes(NO_ITEMS_PREFIX, after)
        except HistoryExpiredError:
            return False
        return True

    async def read_server_changes(self, *, after: Position) -> tuple[Change, ...]:
        """Read the changes of backend servers' entries after a position."""
        return await self._read_changes(SERVER_PREFIX, after)

    async def _read_changes(self, prefix: str, after: Position) -> tuple[Change, ...]:
        # A call of its own connection, as a watch may wait on the other one.
        client = PlatformStore(reactor=self._reactor, address=self._address)
        query = {"prefix": prefix, "after": after.revision, "maxWaitMs": 1}
        try:
            content, at = await client._call(WATCH_PATH, query, "events", wait_ms=1)
        finally:
            if client._connection is not None:
                client._connection.abort()
        if at.era != after.era:
            raise StoreRestoredError(era=at.era)
        return tuple(_to_change(each) for each in content["events"])

    async def _call(
        self, path: str, query: dict[str, Any], wanted: str, *, wait_ms: int
    ) -> tuple[dict[str, Any], Position]:
        host, port = self._address
        request = OutgoingRequest(
            method=b"GET",
            target=f"{path}?{urlencode(query)}".encode(),
            headers=((b"Host", f"{host}:{port}".encode()),),
        )
        try:
            head, body, self._connection = await fetch(
                self._reactor,
                self._address,
                request,
                timeout_ms=wait_ms + ANSWER_TIMEOUT_MS,
                connection=self._connection,
            )
        except OSError as error:
            self._connection = None
            raise StoreUnreachableError(reason=str(error)) from error
        if head.status == STATUS_GONE:
            raise HistoryExpiredError(revision=query.get("after", 0))
        if head.status != STATUS_OK:
            raise StoreRefusedError(status=head.status)
        content = _read_body(body, wanted)
        return content, Position(_read_era(head), content["atRev"])


def _read_era(head: AnswerHead) -> int:
    value = (head.find_header(ERA_HEADER) or b"").strip()
    if value and not (value.isdigit() and len(value) <= MAX_DIGITS):
        raise StoreAnswerError(reason="its era is not a number")
    return int(value or 0)


def _read_body(body: bytes, wanted: str) -> dict[str, Any]:
    try:
        content = orjson.loads(body)
        if not isinstance(content, dict):
            raise TypeError("it is not an object")
        _read_revision(content, "atRev")
        if not isinstance(content.get(wanted), list):
            raise TypeError(f"it has no list of {wanted}")
        return content
    except INVALID_VALUE as error:
        raise StoreAnswerError(reason=f"{type(error).__name__}: {error}") from error


def _read_revision(content: dict[str, Any], name: str) -> int:
    revision = read_number(content, name)
    if type(revision) is not int:
        raise TypeError(f"{name} is not an integer")
    return revision


def _to_change(content: Any) -> Change:
    try:
        key = content["key"]
        if not isinstance(key, str):
            raise TypeError("key is not a string")
        value = None
        if not content.get("deleted"):
            value = base64.b64decode(content["value"], validate=True)
        return Change(
            key=key, value=value, revision=_read_revision(content, "revision")
        )
    except INVALID_VALUE as error:
        raise StoreAnswerError(reason=f"{type(error).__name__}: {error}") from error

"""Client of the platform's store."""

import base64
import binascii
from typing import Any
from urllib.parse import urlencode

import orjson

from damaskrill.feed import (
    BaseStoreClient,
    Change,
    HistoryExpiredError,
    Page,
    StoreAnswerError,
    StoreRefusedError,
    StoreUnreachableError,
)
from damaskrill.http1 import OutgoingRequest, ServerConnection, fetch

__all__ = ["PlatformStore"]

LIST_PATH = "/damaskrill/kv-range"
WATCH_PATH = "/damaskrill/kv-watch"
# Empty, so that one call covers the operators' items and the servers' entries.
ALL_ITEMS_PREFIX = ""
# Time that an answer may take beyond the wait of a watch, as the store may be slow.
ANSWER_TIMEOUT_MS = 1_500
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
        at_revision = 0
        query = {"prefix": ALL_ITEMS_PREFIX}
        while True:
            content = await self._call(LIST_PATH, query, wait_ms=0, after=0)
            page = [_to_change(each) for each in content["items"]]
            changes += page
            # The pages are not a snapshot. The revision of the first page is used, so
            # that the watch reads changes made between pages again.
            at_revision = at_revision or int(content["atRev"])
            if not content.get("hasMore") or not page:
                return Page(changes=tuple(changes), at_revision=at_revision)
            query["after"] = page[-1].key

    async def watch(self, *, after: int, wait_ms: int) -> Page:
        """Wait for changes after a revision."""
        query = {"prefix": ALL_ITEMS_PREFIX, "after": after, "maxWaitMs": wait_ms}
        content = await self._call(WATCH_PATH, query, wait_ms=wait_ms, after=after)
        changes = tuple(_to_change(each) for each in content["events"])
        return Page(changes=changes, at_revision=int(content["atRev"]))

    async def _call(
        self, path: str, query: dict[str, Any], *, wait_ms: int, after: int
    ) -> dict[str, Any]:
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
            raise HistoryExpiredError(revision=after)
        if head.status != STATUS_OK:
            raise StoreRefusedError(status=head.status)
        return _read_body(body)


def _read_body(body: bytes) -> dict[str, Any]:
    try:
        content = orjson.loads(body)
        if not isinstance(content, dict) or type(content.get("atRev")) is not int:
            raise ValueError("it has no revision")
        if not isinstance(content.get("items", content.get("events")), list):
            raise ValueError("it has no list of items or events")
        return content
    except ValueError as error:
        raise StoreAnswerError(reason=str(error)) from error


def _to_change(content: Any) -> Change:
    try:
        value = None
        if not content.get("deleted"):
            value = base64.b64decode(content["value"], validate=True)
        return Change(
            key=content["key"], value=value, revision=int(content["revision"])
        )
    except (AttributeError, KeyError, TypeError, binascii.Error) as error:
        raise StoreAnswerError(reason=f"{type(error).__name__}: {error}") from error

"""Fake of the platform's store."""

import asyncio
import base64
from collections.abc import Coroutine
from enum import Enum
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson
from attrs import frozen

from damaskrill.fakes.platform._listener import Listener
from damaskrill.fakes.platform._misbehaviour import EndlessPart
from damaskrill.fakes.platform._raw_answers import send_endless
from damaskrill.http1 import CallerConnection, CallerRequest, Headers

__all__ = ["FakeStore", "StoreCopy", "StoreMode"]

PAGE_ITEMS = 3


class StoreMode(Enum):
    """How the store answers calls."""

    GOOD = "good"
    BUSY = "busy"
    MANY = "many"
    SILENT = "silent"
    RESET = "reset"
    RUBBISH = "rubbish"
    COMPACTED = "compacted"
    ENDLESS = "endless"


@frozen
class _Write:
    """One change of an item; ``value`` is None for a removal."""

    key: str
    value: bytes | None
    revision: int


@frozen
class StoreCopy:
    """State of the store at some moment."""

    items: dict[str, _Write]
    log: list[_Write]
    revision: int


class FakeStore:
    """Key-value store with revisions, paged lists and watches.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.

    Attributes
    ----------
    mode : StoreMode
        How it answers calls.
    n_calls : int
        Number of received calls.
    endless_part : EndlessPart
        What a store with `StoreMode.ENDLESS` never ends.
    """

    def __init__(self, *, reactor: Any) -> None:
        self.mode = StoreMode.GOOD
        self.endless_part = EndlessPart.UNFRAMED_BODY
        self.n_calls = 0
        self._era = 1
        self._revision = 100
        self._items: dict[str, _Write] = {}
        self._log: list[_Write] = []
        self._history_start = 0
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener = Listener(reactor=reactor, handle=self._handle_request)

    @property
    def address(self) -> tuple[str, int]:
        """Address on which it listens."""
        return self._listener.address

    def put(self, key: str, content: dict[str, Any] | bytes) -> int:
        """Write an item and return its revision."""
        value = content if isinstance(content, bytes) else orjson.dumps(content)
        return self._write(key, value)

    def delete(self, key: str) -> int:
        """Remove an item and return the revision of the removal."""
        return self._write(key, None)

    def put_configuration(self, content: dict[str, Any]) -> None:
        """Write the configuration that operators publish."""
        self.put("op/config", content)

    def put_server(self, server_id: str, entry: dict[str, Any]) -> None:
        """Write the entry of a server."""
        self.put(f"servers/{server_id}", entry)

    def put_leaving(self, server_id: str, entry: dict[str, Any]) -> None:
        """Write the entry of a draining server."""
        self.put_server(server_id, {**entry, "state": "draining"})

    def remove_server(self, server_id: str) -> None:
        """Remove the entry of a server."""
        self.delete(f"servers/{server_id}")

    def evacuate(self, data_centre: str) -> None:
        """Order that a data centre receives no requests."""
        self.put(f"op/evacuate/{data_centre}", {})

    def cancel_evacuation(self, data_centre: str) -> None:
        """Withdraw the evacuation of a data centre."""
        self.delete(f"op/evacuate/{data_centre}")

    def discard_history(self) -> None:
        """Discard all changes, so that a watch after an older revision is refused."""
        self._history_start = self._revision
        self._log.clear()

    def forget_keys(self, keys: set[str]) -> None:
        """Discard all changes of some keys, as if they had never been written."""
        self._log = [each for each in self._log if each.key not in keys]

    def take_copy(self) -> "StoreCopy":
        """Return a copy of the items, to which the store can be restored later."""
        return StoreCopy(dict(self._items), list(self._log), self._revision)

    def restore(self, copy: "StoreCopy") -> None:
        """Lose all writes since a copy, and abort open calls."""
        self._era += 1
        self._items = dict(copy.items)
        self._log = list(copy.log)
        self._revision = copy.revision
        self._listener.reset_connections()

    def writes_since(self, copy: "StoreCopy") -> list[tuple[str, bytes | None]]:
        """Return the keys and values that were written since a copy."""
        return [
            (each.key, each.value)
            for each in self._log
            if each.revision > copy.revision
        ]

    def write_again(self, writes: list[tuple[str, bytes | None]]) -> None:
        """Repeat writes, as operators and servers do after a restore."""
        for key, value in writes:
            self._write(key, value)

    def set_mode(self, mode: StoreMode) -> None:
        """Change how the store answers; unless the mode is GOOD, abort open calls."""
        self.mode = mode
        if mode is not StoreMode.GOOD:
            self._listener.reset_connections()

    def close(self) -> None:
        """Stop listening and abort all calls."""
        self._listener.close()
        for task in self._tasks:
            task.cancel()

    def _write(self, key: str, value: bytes | None) -> int:
        self._revision += 1
        change = _Write(key, value, self._revision)
        if value is None:
            self._items.pop(key, None)
        else:
            self._items[key] = change
        self._log.append(change)
        self._changed.set()
        self._changed = asyncio.Event()
        return self._revision

    def _handle_request(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        self.n_calls += 1
        match self.mode:
            case StoreMode.BUSY:
                connection.send_answer(503, self._era_headers, b"")
            case StoreMode.MANY:
                connection.send_answer(429, self._era_headers, b"")
            case StoreMode.RESET:
                connection.abort()
            case StoreMode.SILENT:
                pass
            case StoreMode.RUBBISH:
                connection.send_answer(200, self._era_headers, b'{"items": 7')
            case StoreMode.ENDLESS:
                headers = self._era_headers
                answer = send_endless(connection, self.endless_part, headers)
                self._start_task(connection, answer)
            case StoreMode.GOOD | StoreMode.COMPACTED:
                self._start_task(connection, self._answer(connection, request))

    def _start_task(
        self, connection: CallerConnection, work: Coroutine[Any, Any, None]
    ) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        connection.on_disconnect = lambda: _cancel(task)

    async def _answer(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        parts = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("prefix", "")
        if parts.path == "/damaskrill/kv-range":
            content = self._list(prefix, query.get("after", ""))
        elif parts.path == "/damaskrill/kv-watch":
            after = int(query["after"])
            is_unknown = not self._history_start <= after <= self._revision
            if self.mode is StoreMode.COMPACTED or is_unknown:
                connection.send_answer(410, self._era_headers, b"")
                return
            wait_ms = int(query.get("maxWaitMs", "0"))
            content = await self._watch(prefix, int(query["after"]), wait_ms)
        else:
            connection.send_answer(404, (), b"")
            return
        headers = (*self._era_headers, (b"Content-Type", b"application/json"))
        connection.send_answer(200, headers, orjson.dumps(content))

    @property
    def _era_headers(self) -> Headers:
        return ((b"Store-Era", b"%d" % self._era),)

    def _list(self, prefix: str, after: str) -> dict[str, Any]:
        keys = sorted(key for key in self._items if key.startswith(prefix))
        keys = [key for key in keys if key > after]
        page = [_to_json(self._items[key]) for key in keys[:PAGE_ITEMS]]
        return {
            "items": page,
            "hasMore": len(keys) > PAGE_ITEMS,
            "atRev": self._revision,
        }

    async def _watch(self, prefix: str, after: int, wait_ms: int) -> dict[str, Any]:
        def find_changes() -> list[_Write]:
            return [
                each
                for each in self._log
                if each.revision > after and each.key.startswith(prefix)
            ]

        changes = find_changes()
        if not changes:
            try:
                async with asyncio.timeout(wait_ms / 1_000):
                    await self._changed.wait()
            except TimeoutError:
                # No item changed within the wait time, so that the answer is empty.
                pass
            changes = find_changes()
        return {"events": [_to_json(each) for each in changes], "atRev": self._revision}


def _to_json(change: _Write) -> dict[str, Any]:
    content: dict[str, Any] = {"key": change.key, "revision": change.revision}
    if change.value is None:
        return {**content, "deleted": True}
    return {**content, "value": base64.b64encode(change.value).decode(), "leaseId": 0}


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()

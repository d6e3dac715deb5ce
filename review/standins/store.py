"""Stand-in of the platform's store: lists, watches and outages."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

import h11
from standins.http import close, read_request, send_whole

__all__ = ["Store"]


class Store:
    """Store whose history begins with its start; `is_down` makes it unreachable."""

    def __init__(self):
        self.address = None
        self.is_down = False
        self._revision = 100
        self._items = {}
        self._log = []
        self._changed = asyncio.Event()
        self._writers = set()

    async def start(self, host):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = server.sockets[0].getsockname()[:2]

    def put(self, key, content):
        """Write an item, unless the store is down; return whether it is written."""
        return self._write(key, json.dumps(content).encode())

    def delete(self, key):
        """Remove an item, unless the store is down; return whether it is removed."""
        return self._write(key, None)

    def go_down(self):
        """Reset all connections, and each new one until `come_back`."""
        self.is_down = True
        for writer in list(self._writers):
            close(writer)

    def come_back(self):
        """Answer again."""
        self.is_down = False

    def _write(self, key, value):
        if self.is_down:
            return False
        self._revision += 1
        event = {"key": key, "revision": self._revision, "deleted": True}
        self._items.pop(key, None)
        if value is not None:
            event = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self._revision,
                "createdRev": self._revision,
                "leaseId": 0,
            }
            self._items[key] = event
        self._log.append(event)
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        http = h11.Connection(h11.SERVER)
        try:
            while not self.is_down:
                request = await read_request(http, reader)
                if request is None or self.is_down:
                    break
                status, content = await self._answer(request.target)
                body = json.dumps(content).encode()
                json_type = [("Content-Type", "application/json")]
                send_whole(http, writer, status, json_type, body)
                http.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass
        finally:
            self._writers.discard(writer)
            close(writer)

    async def _answer(self, target):
        url = urlsplit(target)
        query = {key: value[0] for key, value in parse_qs(url.query).items()}
        prefix = query.get("prefix", "")
        if url.path == "/damaskrill/kv-range":
            items = [self._items[key] for key in sorted(self._items)]
            items = [each for each in items if each["key"].startswith(prefix)]
            items = [each for each in items if each["key"] > query.get("after", "")]
            return 200, {"items": items, "hasMore": False, "atRev": self._revision}
        if url.path == "/damaskrill/kv-watch":
            events = await self._watch(
                prefix, int(query["after"]), int(query["maxWaitMs"]) / 1_000
            )
            return 200, {"events": events, "atRev": self._revision}
        return 404, {}

    async def _watch(self, prefix, after, wait_s):
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + wait_s
        while True:
            events = [
                each
                for each in self._log
                if each["revision"] > after and each["key"].startswith(prefix)
            ]
            left_s = ends_at - loop.time()
            if events or left_s <= 0:
                return events
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

"""Base class of the stand-ins that listen on loopback."""

import asyncio
from abc import ABC, abstractmethod
from typing import Any

from twisted.internet.defer import maybeDeferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

__all__ = ["HttpFake"]

LOOPBACK = "127.0.0.1"
LISTEN_BACKLOG = 1_024


class _CatchAllResource(Resource):
    isLeaf = True

    def __init__(self, fake: "HttpFake") -> None:
        super().__init__()
        self._fake = fake

    def render(self, request: Any) -> int:
        """Hand every request to the stand-in."""
        self._fake.handle(request)
        return int(NOT_DONE_YET)


class _UnloggedSite(Site):
    def log(self, request: Any) -> None:
        """Write no access log."""


class HttpFake(ABC):
    """A stand-in behind an HTTP interface, on an ephemeral port if none is given.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    """

    def __init__(self, *, reactor: Any) -> None:
        self._reactor = reactor
        self._listener: Any = None
        self._port = 0

    @property
    def address(self) -> str:
        """``IP:port``; known after ``start``."""
        return f"{LOOPBACK}:{self._port}"

    def start(self, *, port: int = 0) -> None:
        """Listen; a second start without a port takes the same one."""
        self._port = port or self._port
        site = _UnloggedSite(_CatchAllResource(self), reactor=self._reactor)
        self._listener = self._reactor.listenTCP(
            self._port, site, LISTEN_BACKLOG, LOOPBACK
        )
        self._port = self._listener.getHost().port

    async def stop(self) -> None:
        """Stop to listen."""
        listener, self._listener = self._listener, None
        if listener is not None:
            stopping = maybeDeferred(listener.stopListening)
            await stopping.asFuture(asyncio.get_running_loop())

    @abstractmethod
    def handle(self, request: Any) -> None:
        """Answer one request, now or later."""

    @staticmethod
    def answer(
        request: Any,
        status: int,
        body: bytes,
        *,
        content_type: str = "application/json",
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a whole answer."""
        request.setResponseCode(status)
        request.setHeader("Content-Type", content_type)
        request.setHeader("Content-Length", str(len(body)))
        for name, value in (headers or {}).items():
            request.setHeader(name, value)
        request.write(body)
        request.finish()

    @staticmethod
    def header(request: Any, name: str) -> str:
        """Return a header's value; an empty string if there is none."""
        values = request.requestHeaders.getRawHeaders(name) or [""]
        return str(values[0])

    @staticmethod
    def query(request: Any, name: str, default: int = 0) -> int:
        """Return a number from the query."""
        values = request.args.get(name.encode("ascii"))
        return int(values[0]) if values else default

"""Base class of the fakes that listen on loopback."""

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
        """Pass the request to the fake, whatever its path is."""
        self._fake.handle(request)
        return int(NOT_DONE_YET)


class _UnloggedSite(Site):
    def log(self, request: Any) -> None:
        """Write no access log."""


class HttpFake(ABC):
    """Fake with an HTTP interface on loopback.

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
        """Address as ``IP:port``, valid after ``start``."""
        return f"{LOOPBACK}:{self._port}"

    def start(self, *, port: int = 0) -> None:
        """Start to listen.

        Parameters
        ----------
        port : int, default=0
            Port; if 0, that of the previous start, or an ephemeral one.
        """
        self._port = port or self._port
        site = _UnloggedSite(_CatchAllResource(self), reactor=self._reactor)
        self._listener = self._reactor.listenTCP(
            self._port, site, LISTEN_BACKLOG, LOOPBACK
        )
        self._port = self._listener.getHost().port

    async def stop(self) -> None:
        """Stop listening."""
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
        """Send a complete answer."""
        request.setResponseCode(status)
        request.setHeader("Content-Type", content_type)
        request.setHeader("Content-Length", str(len(body)))
        for name, value in (headers or {}).items():
            request.setHeader(name, value)
        request.write(body)
        request.finish()

    @staticmethod
    def header(request: Any, name: str) -> str:
        """Return the value of a header, or an empty string."""
        values = request.requestHeaders.getRawHeaders(name) or [""]
        return str(values[0])

    @staticmethod
    def query(request: Any, name: str, default: int = 0) -> int:
        """Return an integer of the query string."""
        values = request.args.get(name.encode("ascii"))
        return int(values[0]) if values else default

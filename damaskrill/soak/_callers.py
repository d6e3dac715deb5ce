"""Callers of a soak test, with persistent connections and a record of each request."""

import asyncio
import time
from random import Random

import h11
from attrs import define

from damaskrill.fakes.platform import build_caller_headers
from damaskrill.utils import hash_to_int

__all__ = ["DEADLINE_MS", "Exchange", "send_request_once", "send_requests_forever"]

DEADLINE_MS = 3_000
CONNECT_TIMEOUT_S = 1.0
REUSE_PROBABILITY = 0.7
REQUEST_KINDS = (
    ("POST", "/chat/1", True),
    ("POST", "/check/1", True),
    ("POST", "/issue/1", False),
    ("GET", "/read/1", False),
)


@define(kw_only=True)
class Exchange:
    """One request and its answer, as the caller observed them.

    Parameters
    ----------
    request_id, path, key : str
        ID, path and API key of the request.
    router : int
        Number of the router that received it.
    sent_at, ended_at : float
        Times on the monotonic clock, in seconds; 0 until then.
    status : int
        Status of the answer; 0 if none was received.
    body : bytes
        Received part of the body.
    is_complete : bool
        Whether the answer was received completely.
    prompt : str
        Prompt parts; empty for a request without a stream.
    is_fatal : bool
        Whether servers crash at it.
    is_probe : bool
        Whether it shows which configuration is in force.
    is_pressing : bool
        Whether it is sent because its service fails.
    resumes : str
        ID of the request that brought the first event of the stream that this one takes
        up; empty for a new request.
    last_event : int
        Number of the last event that the caller had received of this stream.
    leaves_after : int or None
        Number of events after which the caller closes the connection; None if it does
        not.
    is_sent : bool
        Whether the request was written to an open connection.
    is_on_kept : bool
        Whether the connection had served a request before.
    is_closed : bool
        Whether the connection ended before the answer did.
    has_left : bool
        Whether the caller closed the connection before.
    """

    request_id: str
    path: str
    key: str
    router: int
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    body: bytes = b""
    is_complete: bool = False
    prompt: str = ""
    is_fatal: bool = False
    is_probe: bool = False
    is_pressing: bool = False
    resumes: str = ""
    last_event: int = 0
    leaves_after: int | None = None
    is_sent: bool = False
    is_on_kept: bool = False
    is_closed: bool = False
    has_left: bool = False

    @property
    def n_events(self) -> int:
        """Number of whole events received."""
        return self.body.count(b"\n\n")


async def send_requests_forever(
    addresses: list[tuple[str, int]],
    *,
    keys: list[str],
    exchanges: list[Exchange],
    name: str,
    random: Random,
    mean_interval_s: float,
) -> None:
    """Send requests one after the other until cancelled.

    Parameters
    ----------
    addresses : list of (str, int)
        Addresses of the routers.
    keys : list of str
        API keys to choose from.
    exchanges : list of Exchange
        Record to which each request is added.
    name : str
        Prefix of the request IDs.
    random : Random
        Source of random choices.
    mean_interval_s : float
        Mean time between the end of a request and the next, in seconds.
    """
    connection: _Connection | None = None
    number = 0
    while True:
        number += 1
        if connection is None or random.random() > REUSE_PROBABILITY:
            router = random.randrange(len(addresses))
            connection = await _Connection.open(router, addresses[router])
            if connection is None:
                await asyncio.sleep(random.uniform(0.02, 0.2))
                continue
        method, path, is_stream = random.choice(REQUEST_KINDS)
        request_id = f"{name}-{number}"
        prompt = ""
        if is_stream:
            shared = f"base:10,part-{hash_to_int(request_id) % 20}:10"
            prompt = f"{shared},{request_id}-own:5"
        exchange = Exchange(
            request_id=request_id,
            path=path,
            prompt=prompt,
            key=random.choice(keys),
            router=connection.router,
            sent_at=time.monotonic(),
        )
        exchanges.append(exchange)
        is_open = await connection.send_request(method, exchange)
        exchange.ended_at = time.monotonic()
        connection = connection if is_open else None
        await asyncio.sleep(random.expovariate(1 / mean_interval_s))


async def send_request_once(
    address: tuple[str, int], exchange: Exchange, method: str = "POST"
) -> None:
    """Send one request on a connection of its own.

    Parameters
    ----------
    address : tuple of (str, int)
        Address of the router.
    exchange : Exchange
        The request, in which its answer is recorded.
    method : str, default="POST"
        Its method.
    """
    exchange.sent_at = time.monotonic()
    connection = await _Connection.open(exchange.router, address)
    if connection is not None:
        await connection.send_request(method, exchange)
        connection.close()
    exchange.ended_at = time.monotonic()


class _Connection:
    def __init__(
        self, router: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.router = router
        self._is_kept = False
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.CLIENT)

    @classmethod
    async def open(cls, router: int, address: tuple[str, int]) -> "_Connection | None":
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return cls(router, *await asyncio.open_connection(*address))
        except (OSError, TimeoutError):
            # The router is down or paused; the caller picks another one.
            return None

    def close(self) -> None:
        self._writer.transport.abort()

    async def send_request(self, method: str, exchange: Exchange) -> bool:
        try:
            async with asyncio.timeout(DEADLINE_MS / 1_000):
                exchange.is_on_kept = self._is_kept
                await self._send_request(method, exchange)
                exchange.is_complete = not exchange.has_left
                self._is_kept = True
            if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
                self._http.start_next_cycle()
                return True
        except TimeoutError:
            # The part received until then is recorded.
            pass
        except (OSError, h11.ProtocolError):
            exchange.is_closed = True
        self.close()
        return False

    async def _send_request(self, method: str, exchange: Exchange) -> None:
        headers = build_caller_headers(
            request_id=exchange.request_id,
            key=exchange.key,
            deadline_ms=DEADLINE_MS,
            prompt=exchange.prompt,
        )
        if exchange.resumes:
            headers += [
                ("Resumes", exchange.resumes),
                ("Last-Event-Id", str(exchange.last_event)),
            ]
        request = h11.Request(method=method, target=exchange.path, headers=headers)
        self._writer.write(self._http.send(request) or b"")
        self._http.send(h11.EndOfMessage())
        exchange.is_sent = True
        while not exchange.has_left:
            event = self._http.next_event()
            match event:
                case h11.NEED_DATA:
                    self._http.receive_data(await self._reader.read(65_536))
                case h11.Response():
                    exchange.status = event.status_code
                case h11.Data():
                    exchange.body += bytes(event.data)
                    exchange.has_left = exchange.n_events == exchange.leaves_after
                case h11.EndOfMessage():
                    return
                case h11.ConnectionClosed():
                    raise ConnectionResetError(
                        "connection closed before the answer ended"
                    )
                case _:
                    pass

"""Fake backend server of the platform."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import orjson

from damaskrill.fakes.platform._listener import Listener
from damaskrill.fakes.platform._misbehaviour import (
    EndlessPart,
    Misbehaviour,
    UnframedHead,
)
from damaskrill.fakes.platform._part_cache import CACHE_LIST_PATH, PartCache
from damaskrill.fakes.platform._raw_answers import (
    EVENT_STREAM,
    build_event,
    send_endless,
)
from damaskrill.fakes.platform._slots import ServerSlots
from damaskrill.fakes.platform._streams import (
    UnframedStream,
    break_off_stream,
    send_unframed,
)
from damaskrill.http1 import CallerConnection, CallerRequest, Headers

__all__ = ["FakeServer"]

SEAL = (b"Damaskrill-Response-Seal", b"seal")
JSON = (b"Content-Type", b"application/json")
ID_HEADER = b"damaskrill-request-id"
# How long before its deadline the server abandons a request.
DEADLINE_MARGIN_MS = 20
# Path of health checks in the configurations of the builders.
HEALTH_PATH = b"/health"
# Path at which a server states what it is.
REPORT_PATH = b"/damaskrill/report"
# Time from the head of an answer to the crash that its prompt causes, and from the
# beginning of a run to the crash that the request causes.
CRASH_DELAY_MS = 30
UNFRAMED_STREAMS = (
    Misbehaviour.NO_LENGTH,
    Misbehaviour.NO_LENGTH_LATE_RESET,
    Misbehaviour.NO_LENGTH_MID_EVENT,
)
# Misbehaviours that are the one of `Misbehaviour.ENDLESS` with a certain part.
ENDLESS_PARTS = {
    Misbehaviour.ENDLESS_HEAD: EndlessPart.HEADER_VALUE,
    Misbehaviour.ENDLESS_BODY: EndlessPart.UNFRAMED_EVENT,
}


class FakeServer:
    """Backend server that records all its requests and runs.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    server_id : str
        ID of the server.
    n_events : int, default=5
        Number of events of a stream.
    event_ms : int, default=5
        Time between events, in milliseconds.
    work_ms : int, default=5
        Duration of a request without a stream, in milliseconds.
    port : int, default=0
        Port on which it listens; if 0, a free one.

    Attributes
    ----------
    runs : collections.Counter
        Number of runs by request ID.
    requests : list of CallerRequest
        All received requests.
    arrivals : list of (float, str)
        Arrival times, on the monotonic clock in seconds, and request IDs.
    n_dropped : int
        Runs whose connection was closed before their end.
    drops : list of (float, str)
        Times of these ends, on the monotonic clock in seconds, and request IDs.
    is_leaving : bool
        Whether its answers announce that it leaves.
    retry_after : bytes or None
        Value of the header ``Retry-After`` of its refusals.
    rate_limit : bytes or None
        Value of the header ``Server-Limit`` of its answers.
    pauses : list of (float, str)
        Times of the refusals with that header, on the monotonic clock in seconds, and
        request IDs.
    failure_share : float
        Share of the requests that a server with `Misbehaviour.FULL`, `ERROR`,
        `FAILED_RUN` or `RESET` fails, and of the streams that it breaks off, drawn at
        random; it serves the others.
    failed_status : int
        Status of the answers of a server with `Misbehaviour.FAILED_RUN`, which fails
        requests, also those for a stream, after it has run them. These answers do not
        state that the request was not run.
    failed_headers : tuple of (bytes, bytes)
        Headers of these answers besides the request's ID.
    silence_ms : int
        Time for which a server with `Misbehaviour.PAUSE` sends nothing before it goes
        on, in milliseconds.
    n_events_before_silence : int
        Number of events of a stream that it sends before.
    endless_part : EndlessPart
        What a server with `Misbehaviour.ENDLESS` never ends.
    unframed_head : UnframedHead
        Head of its answers with neither length nor chunks.
    silences : list of (float, float, str)
        Begin and intended end of its silences, on the monotonic clock in seconds, and
        request IDs.
    is_unframed : bool
        Whether its sound answers have no length and end with their connection.
    fatal_parts : set of str
        Prompt parts, other than the last of a prompt, on which it crashes shortly after
        the head of its answer.
    fatal_requests : set of (bytes, bytes)
        Targets and bodies of requests at which it crashes shortly after it has begun to
        run them.
    crash_delay_ms : int
        Time until such a crash, in milliseconds.
    on_crash : callable or None
        Called after such a crash.
    stated_load : bytes
        Load that its answers state.
    capacity : int or None
        Requests that it runs at the same time, beyond which it rejects others; None for
        any number.
    slots : ServerSlots or None
        Slots that it has, whose load its answers state with all four figures; None for
        any number.
    brittle_per_s : int or None
        Value of the header ``Server-Brittle`` of its answers: it crashes if it has to
        reject more requests within a second.
    n_falls : int
        Number of these crashes.
    n_body_bytes : int
        Least length of its answers, in bytes.
    cache : PartCache
        Prompt parts that it has cached.
    started_at_ms : int
        Start time that it states, also with these, in Unix milliseconds.
    has_report : bool
        Whether it states its start time when it is asked for a report.
    n_reports : int
        Number of times that it was asked.
    false_list : bytes or EndlessPart or None
        What it answers in place of the list of these parts; empty for no answer.
    author : bytes
        Name that the data of its events hold; empty for none.
    cold_until : float
        Until when it is cold, on the monotonic clock in seconds; its health answers say
        so.
    names_refusals : bool
        Whether its refusals carry the ID of their request.
    copies_refusals : bool
        Whether it sends each refusal once more, where the next answer on the connection
        is due.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        server_id: str,
        n_events: int = 5,
        event_ms: int = 5,
        work_ms: int = 5,
        port: int = 0,
    ) -> None:
        self.server_id = server_id
        self.misbehaviour = Misbehaviour.NONE
        self.runs: Counter[str] = Counter()
        self.requests: list[CallerRequest] = []
        self.n_dropped = 0
        self.drops: list[tuple[float, str]] = []
        self.is_leaving = False
        self.retry_after: bytes | None = None
        self.rate_limit: bytes | None = None
        self.pauses: list[tuple[float, str]] = []
        self.failure_share = 1.0
        self.failed_status = 500
        self.failed_headers: Headers = (SEAL,)
        self._random = Random(server_id)
        self.silence_ms = 1_500
        self.n_events_before_silence = 2
        self.endless_part = EndlessPart.JUNK
        self.unframed_head = UnframedHead.CLOSE
        self.silences: list[tuple[float, float, str]] = []
        self.is_unframed = False
        self.fatal_parts: set[str] = set()
        self.fatal_requests: set[tuple[bytes, bytes]] = set()
        self.crash_delay_ms = CRASH_DELAY_MS
        self.on_crash: Callable[[], None] | None = None
        self.states_load = True
        self.stated_load = b"1,0,8"
        self.capacity: int | None = None
        self.slots: ServerSlots | None = None
        self.brittle_per_s: int | None = None
        self.n_falls = 0
        self.n_body_bytes = 0
        self.cache = PartCache()
        self.started_at_ms = 1_000
        self.has_report = True
        self.n_reports = 0
        self.false_list: bytes | EndlessPart | None = None
        self.author = b""
        self.cold_until = 0.0
        self.names_refusals = True
        self.copies_refusals = False
        self._n_active = 0
        self._rejections: list[float] = []
        self.arrivals: list[tuple[float, str]] = []
        self._n_events = n_events
        self._event_ms = event_ms
        self._work_ms = work_ms
        self._late_answers: dict[CallerConnection, bytes] = {}
        self._refused: set[bytes] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener = Listener(
            reactor=reactor, handle=self._handle_request, port=port
        )

    @property
    def address(self) -> tuple[str, int]:
        """Address on which it listens."""
        return self._listener.address

    def close(self) -> None:
        """Crash: abort all connections and runs."""
        self._listener.close()
        for task in self._tasks:
            task.cancel()

    def _handle_request(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        request_id = request.find_header(ID_HEADER) or b""
        if request.target not in (HEALTH_PATH, CACHE_LIST_PATH, REPORT_PATH):
            self.requests.append(request)
            self.arrivals.append((time.monotonic(), request_id.decode()))
        task = asyncio.get_running_loop().create_task(self._run(connection, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

        def handle_disconnect() -> None:
            self.n_dropped += 1
            self.drops.append((time.monotonic(), request_id.decode()))
            task.cancel()

        connection.on_disconnect = handle_disconnect

    async def _run(self, connection: CallerConnection, request: CallerRequest) -> None:
        request_id = request.find_header(ID_HEADER) or b""
        expected = request.find_header(b"damaskrill-expect-instance")
        is_other_instance = expected is not None and expected != self.server_id.encode()
        if is_other_instance or self.misbehaviour is Misbehaviour.MOVED:
            connection.send_answer(421, ((b"Damaskrill-Instance-Id", b"i-other"),), b"")
            return
        if request.target == CACHE_LIST_PATH:
            await self._answer_list(connection)
            return
        if request.target == REPORT_PATH:
            self.n_reports += 1
            report = orjson.dumps({"phase": "unified", "born": self.started_at_ms})
            connection.send_answer(
                200 if self.has_report else 404, (JSON,), report * self.has_report
            )
            return
        is_full = self.capacity is not None and self._n_active >= self.capacity
        if self.slots is not None and self.slots.is_full:
            is_full = True
            self.slots.n_rejected += 1
        if self.copies_refusals:
            self._send_late_answer(connection)
        if not request_id and not self.names_refusals:
            self._refuse(connection, request_id, status=400)
            return
        if is_full or self._fails_as(Misbehaviour.FULL):
            self._refuse(connection, request_id)
            self._count_rejection()
            return
        if self._refuses_once(connection, request_id):
            return
        if request.target == HEALTH_PATH:
            await self._answer_health(connection)
            return
        if self.slots is not None:
            await self.slots.acquire()
        self._n_active += 1
        try:
            await self._run_request(connection, request, request_id)
        finally:
            self._n_active -= 1
            if self.slots is not None:
                self.slots.release()

    async def _answer_health(self, connection: CallerConnection) -> None:
        # A health check waits like a request, but runs none.
        if self.misbehaviour is Misbehaviour.HANG:
            await asyncio.sleep(60)
        headers: Headers = ((b"Damaskrill-Instance-Id", self.server_id.encode()),)
        cold_ms = round((self.cold_until - time.monotonic()) * 1_000)
        if cold_ms > 0:
            headers = (*headers, (b"Damaskrill-Cold-Ms", b"%d" % cold_ms))
        connection.send_answer(503 if self.is_leaving else 200, headers, b"")

    async def _answer_list(self, connection: CallerConnection) -> None:
        content = self.cache.build_list(started_at_ms=self.started_at_ms)
        match self.false_list:
            case EndlessPart() as part:
                await send_endless(connection, part, (JSON,))
            case b"":
                await asyncio.sleep(60)
            case bytes() as content:
                pass
        connection.send_answer(200, (JSON,), content)

    async def _run_request(
        self, connection: CallerConnection, request: CallerRequest, request_id: bytes
    ) -> None:
        self.runs[request_id.decode()] += 1
        if (request.target, request.body) in self.fatal_requests:
            await asyncio.sleep(self.crash_delay_ms / 1_000)
            self._crash()
            return
        if self.misbehaviour is Misbehaviour.HANG:
            await asyncio.sleep(60)
        if self.misbehaviour is Misbehaviour.DEADLINE:
            deadline = request.find_header(b"damaskrill-request-deadline") or b"0"
            await asyncio.sleep((int(deadline) - DEADLINE_MARGIN_MS) / 1_000)
            echo = (b"Damaskrill-Request-Id", request_id)
            connection.send_answer(504, (echo, SEAL), b"")
            return
        if self._fails_as(Misbehaviour.RESET):
            connection.abort()
            return
        states_fixed_load = self.states_load and self.slots is None
        headers = (
            (b"Damaskrill-Request-Id", request_id),
            *(
                [(b"Damaskrill-Server-Load", self.stated_load)]
                if states_fixed_load
                else []
            ),
            SEAL,
            *self._state_headers,
        )
        if self.misbehaviour is Misbehaviour.ENDLESS:
            await send_endless(connection, self.endless_part, headers)
        if self.misbehaviour in ENDLESS_PARTS:
            await send_endless(connection, ENDLESS_PARTS[self.misbehaviour], headers)
        is_failing = self.misbehaviour is Misbehaviour.FAILED_RUN
        if is_failing and not self._draw_is_spared():
            await asyncio.sleep(self._work_ms / 1_000)
            echo = (b"Damaskrill-Request-Id", request_id)
            failed = (echo, *self.failed_headers)
            connection.send_answer(self.failed_status, failed, b"failed")
            return
        if request.find_header(b"damaskrill-prompt-prefix") is not None:
            await self._stream(connection, request, headers)
            return
        if self.misbehaviour is Misbehaviour.PAUSE:
            await self._be_silent(request_id)
        slowness = self.slots.slowness if self.slots is not None else 1.0
        await asyncio.sleep(self._work_ms * slowness / 1_000)
        if self.slots is not None:
            load = self.slots.state_load(is_answer=True)
            headers = (*headers, (b"Damaskrill-Server-Load", load))
        await self._answer(connection, request_id, headers)

    def _refuse(
        self, connection: CallerConnection, request_id: bytes, *, status: int = 503
    ) -> None:
        headers = self._refusal_headers(request_id)
        connection.send_answer(status, headers, b"")
        if self.copies_refusals or self.misbehaviour is Misbehaviour.COPIED_REFUSAL:
            lines = b"".join(b"%b: %b\r\n" % each for each in headers)
            copy = b"HTTP/1.1 %d Busy\r\n%bContent-Length: 0\r\n\r\n"
            self._late_answers[connection] = copy % (status, lines)

    def _send_late_answer(self, connection: CallerConnection) -> None:
        transport: Any = connection.transport
        transport.write(self._late_answers.pop(connection, b""))

    def _refuses_once(self, connection: CallerConnection, request_id: bytes) -> bool:
        """Refuse each request once, and send a late copy before the next answer."""
        if self.misbehaviour is not Misbehaviour.COPIED_REFUSAL:
            return False
        self._send_late_answer(connection)
        if request_id in self._refused:
            return False
        self._refused.add(request_id)
        self._refuse(connection, request_id)
        return True

    def _draw_is_spared(self) -> bool:
        return self._random.random() >= self.failure_share

    def _fails_as(self, misbehaviour: Misbehaviour) -> bool:
        is_spared = self._draw_is_spared()
        return self.misbehaviour is misbehaviour and not is_spared

    @property
    def _state_headers(self) -> Headers:
        headers: Headers = ()
        if self.is_leaving:
            headers = (*headers, (b"Server-Leaving", b"1"))
        if self.rate_limit is not None:
            headers = (*headers, (b"Server-Limit", self.rate_limit))
        if self.brittle_per_s is not None:
            headers = (*headers, (b"Server-Brittle", b"%d" % self.brittle_per_s))
        return headers

    def _count_rejection(self) -> None:
        if self.brittle_per_s is None:
            return
        now = time.monotonic()
        self._rejections = [at for at in self._rejections if now - at < 1.0] + [now]
        if len(self._rejections) > self.brittle_per_s:
            self.n_falls += 1
            self._crash()

    def _refusal_headers(self, request_id: bytes) -> Headers:
        headers: Headers = ((b"Damaskrill-Not-Executed", b"1"), *self._state_headers)
        if self.names_refusals:
            headers = ((b"Damaskrill-Request-Id", request_id), *headers)
        if self.slots is not None:
            load = self.slots.state_load()
            headers = (*headers, (b"Damaskrill-Server-Load", load))
        if self.retry_after is not None:
            self.pauses.append((time.monotonic(), request_id.decode()))
            headers = (*headers, (b"Retry-After", self.retry_after))
        return headers

    async def _be_silent(self, request_id: bytes) -> None:
        now, silence_s = time.monotonic(), self.silence_ms / 1_000
        self.silences.append((now, now + silence_s, request_id.decode()))
        await asyncio.sleep(silence_s)

    def _has_fatal_part(self, request: CallerRequest) -> bool:
        prompt = request.find_header(b"damaskrill-prompt-prefix") or b""
        shared = prompt.decode().split(",")[:-1]
        return any(part.partition(":")[0] in self.fatal_parts for part in shared)

    def _crash(self) -> None:
        self.close()
        if self.on_crash is not None:
            self.on_crash()

    async def _stream(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        headers: tuple[tuple[bytes, bytes], ...],
    ) -> None:
        first = int(request.find_header(b"last-event-id") or b"0") + 1
        request_id = request.find_header(ID_HEADER) or b""
        stream: CallerConnection | UnframedStream = connection
        if self.is_unframed or self.misbehaviour in UNFRAMED_STREAMS:
            stream = UnframedStream(connection, self.unframed_head)
        stream.begin_stream(200, (*headers, EVENT_STREAM))
        self.cache.add_prompt(request)
        if self._has_fatal_part(request):
            await asyncio.sleep(self.crash_delay_ms / 1_000)
            self._crash()
            return
        is_spared = self._draw_is_spared()
        for number in range(first, self._n_events + 1):
            await asyncio.sleep(self._event_ms / 1_000)
            event = build_event(number, self.author)
            is_second_half = number > self._n_events // 2
            is_next = number == self.n_events_before_silence + 1
            if is_next and self.misbehaviour is Misbehaviour.PAUSE:
                await self._be_silent(request_id)
            if (
                is_second_half
                and not is_spared
                and await break_off_stream(stream, event, self.misbehaviour)
            ):
                return
            stream.send_chunk(event)
        stream.end_stream()

    async def _answer(
        self,
        connection: CallerConnection,
        request_id: bytes,
        headers: tuple[tuple[bytes, bytes], ...],
    ) -> None:
        body = (b'{"answer": "%b"}' % request_id).ljust(self.n_body_bytes)
        transport: Any = connection.transport
        raw = b"HTTP/1.1 200 OK\r\n"
        raw += b"".join(b"%b: %b\r\n" % each for each in (*headers, JSON))
        sized = raw + b"Content-Length: %d\r\n\r\n" % len(body)
        match self.misbehaviour:
            case Misbehaviour.ERROR if self._fails_as(Misbehaviour.ERROR):
                connection.send_answer(500, headers, b"failed")
            case Misbehaviour.OTHER_ID:
                others = ((b"Damaskrill-Request-Id", b"another"), SEAL)
                connection.send_answer(200, others, body)
            case Misbehaviour.NO_SEAL:
                connection.send_answer(200, headers[:2], body)
            case Misbehaviour.ENCODED:
                encoded = (*headers, (b"Content-Encoding", b"gzip"))
                connection.send_answer(200, encoded, body)
            case Misbehaviour.CUT:
                transport.write(sized + body[:4])
                transport.loseConnection()
            case (
                Misbehaviour.NO_LENGTH
                | Misbehaviour.NO_LENGTH_RESET
                | Misbehaviour.NO_LENGTH_LATE_RESET
                | Misbehaviour.NO_LENGTH_MID_EVENT
            ):
                await self._send_unframed(
                    connection, headers, body, pause_ms=self._event_ms
                )
            case Misbehaviour.SECOND_ANSWER:
                transport.write(sized + body + sized + body)
                connection.on_disconnect = None
            case Misbehaviour.LATE_COPY | Misbehaviour.LATE_REFUSAL:
                late = self._late_answers.pop(connection, b"")
                transport.write(late)
                connection.send_answer(200, (*headers, JSON), body)
                self._late_answers[connection] = sized + body
                if self.misbehaviour is Misbehaviour.LATE_REFUSAL:
                    self._late_answers[connection] = (
                        b"HTTP/1.1 503 Busy\r\nDamaskrill-Request-Id: %b\r\n"
                        b"Damaskrill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                    ) % request_id
            case Misbehaviour.RUBBISH:
                transport.write(b"\x00\x01\x02 no answer\r\n\r\n")
            case _ if self.is_unframed:
                await self._send_unframed(connection, headers, body, pause_ms=0)
            case _:
                connection.send_answer(200, (*headers, JSON), body)

    async def _send_unframed(
        self,
        connection: CallerConnection,
        headers: Headers,
        body: bytes,
        *,
        pause_ms: float,
    ) -> None:
        is_early_reset = self.misbehaviour is Misbehaviour.NO_LENGTH_RESET
        head = UnframedHead.PLAIN if is_early_reset else self.unframed_head
        middle = len(body) // 2
        await send_unframed(
            UnframedStream(connection, head),
            (*headers, JSON),
            (body[:middle], body[middle:]),
            misbehaviour=self.misbehaviour,
            pause_ms=pause_ms,
        )

"""Fake engine with the HTTP interface of common chat completion APIs."""

import json
from typing import Any

from attrs import define, field

from damaskrill.fakes._engine import FakeEngine
from damaskrill.fakes._http_base import HttpFake
from damaskrill.utils import (
    Clock,
    count_prompt_tokens,
    hash_prefix_blocks,
    hash_to_int,
)

__all__ = ["HttpFakeEngine", "build_chat_answer"]

DEFAULT_OUTPUT_TOKENS = 16
WORDS = ("channel", "band", "licence", "site", "power", "clause", "duct", "report")


def build_chat_answer(body: bytes, request_id: str) -> list[bytes]:
    """Return the chunks of the answer to a chat request.

    Parameters
    ----------
    body : bytes
        Body of the request.
    request_id : str
        ID of the request, which the answer contains.

    Returns
    -------
    list of bytes
        Server-sent events if the body requests a stream, otherwise one JSON object.

    Notes
    -----
    The answer depends only on the parameters, so that any engine can resume it.
    """
    content = json.loads(body)
    n_tokens = int(content.get("max_tokens", DEFAULT_OUTPUT_TOKENS))
    seed = hash_to_int(json.dumps(content["messages"], sort_keys=True))
    words = [WORDS[(seed >> (n % 16)) % len(WORDS)] for n in range(n_tokens)]
    if not content.get("stream"):
        message = {"role": "assistant", "content": " ".join(words)}
        answer = {
            "id": f"chatcmpl-{request_id}",
            "object": "chat.completion",
            "model": content.get("model", ""),
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        }
        return [json.dumps(answer).encode()]
    events = []
    for word in words:
        event = {
            "id": f"chatcmpl-{request_id}",
            "object": "chat.completion.chunk",
            "choices": [{"index": 0, "delta": {"content": f"{word} "}}],
        }
        events.append(b"data: " + json.dumps(event).encode() + b"\n\n")
    return [*events, b"data: [DONE]\n\n"]


@define(kw_only=True, eq=False)
class _Run:
    run_id: str
    request: Any
    chunks: list[bytes]
    interval_s: float
    is_finished: bool = False
    n_sent_bytes: int = 0
    timer: Any = field(default=None)


class HttpFakeEngine(HttpFake):
    """HTTP interface that streams the answers of a ``FakeEngine`` with its timing.

    Parameters
    ----------
    engine : FakeEngine
        State of the engine: load, cache, warm-up, crashes.
    clock : Clock
        Source of the time.
    reactor : object
        Twisted's reactor.

    Attributes
    ----------
    abort_next_after_bytes : int
        If not 0, the connection of the next stream is aborted, once, after this many
        bytes.
    n_aborted : int
        Streams aborted that way.
    n_resumed : int
        Requests with a resume offset.
    n_cancelled : int
        Runs whose caller disconnected before the end.
    """

    def __init__(self, *, engine: FakeEngine, clock: Clock, reactor: Any) -> None:
        super().__init__(reactor=reactor)
        self._engine = engine
        self._clock = clock
        self._runs: dict[str, _Run] = {}
        self._n_runs = 0
        self.abort_next_after_bytes = 0
        self.n_aborted = 0
        self.n_resumed = 0
        self.n_cancelled = 0

    @property
    def engine(self) -> FakeEngine:
        """State of the engine."""
        return self._engine

    def restart(self) -> None:
        """Restart the engine: abort all runs and empty the cache."""
        self._engine.restart(self._clock.now_ms)
        self._abort_all_runs()

    def handle(self, request: Any) -> None:
        """Answer one request."""
        match (request.method, request.path):
            case (b"POST", b"/v1/chat/completions"):
                self._begin(request)
            case (b"GET", b"/v1/load"):
                self._send_report(request)
            case (b"POST", b"/v1/orders"):
                self.answer(request, 200, b"{}")
            case _:
                self.answer(request, 404, b"{}")

    def _begin(self, request: Any) -> None:
        body = request.content.read()
        request_id = self.header(request, "X-Request-Id")
        chunks = build_chat_answer(body, request_id)
        prompt = "\n".join(
            f"{each['role']}\n{each['content']}"
            for each in json.loads(body)["messages"]
        )
        self._n_runs += 1
        run_id = f"{request_id}#{self._n_runs}"
        started = self._engine.begin(
            run_id=run_id,
            prefix_blocks=hash_prefix_blocks(prompt),
            n_prompt_tokens=count_prompt_tokens(prompt),
            n_output_tokens=len(chunks),
            now_ms=self._clock.now_ms,
        )
        if started is None:
            self._abort_all_runs()
            request.transport.abortConnection()
            return
        is_stream = len(chunks) > 1
        offset = int(self.header(request, "Resume-Offset") or 0)
        if offset:
            self.n_resumed += 1
            chunks = _skip(chunks, offset)
            request.setHeader("Resume-Offset", str(offset))
        content_type = "text/event-stream" if is_stream else "application/json"
        request.setHeader("Content-Type", content_type)
        if not is_stream:
            request.setHeader("Content-Length", str(sum(map(len, chunks))))
        duration_ms = started.ends_at_ms - started.first_token_at_ms
        run = _Run(
            run_id=run_id,
            request=request,
            chunks=chunks,
            interval_s=duration_ms / 1_000 / max(len(chunks), 1),
        )
        self._runs[run_id] = run
        request.notifyFinish().addErrback(lambda _: self._handle_disconnect(run))
        first_s = (started.first_token_at_ms - started.started_at_ms) / 1_000
        run.timer = self._reactor.callLater(first_s, self._send_next, run)

    def _send_next(self, run: _Run) -> None:
        if run.is_finished:
            return
        chunk = run.chunks.pop(0)
        limit = self.abort_next_after_bytes
        if limit and run.n_sent_bytes + len(chunk) >= limit:
            self.abort_next_after_bytes = 0
            self.n_aborted += 1
            run.request.write(chunk[: limit - run.n_sent_bytes])
            self._reactor.callLater(0.02, self._abort_run, run)
            return
        run.request.write(chunk)
        run.n_sent_bytes += len(chunk)
        if run.chunks:
            run.timer = self._reactor.callLater(run.interval_s, self._send_next, run)
            return
        self._remove_run(run)
        self._engine.finish(run.run_id, self._clock.now_ms)
        run.request.finish()

    def _send_report(self, request: Any) -> None:
        now_ms = self._clock.now_ms
        report = self._engine.report(now_ms)
        events = [
            {
                "sequence": each.sequence,
                "stored": each.stored,
                "removed": each.removed,
            }
            for each in self._engine.published_events(now_ms)
        ]
        content = {
            "start_id": report.start_id,
            "load": report.load,
            "n_finished": report.n_finished,
            "age_ms": now_ms - report.measured_at_ms,
            "cache_events": events,
        }
        self.answer(request, 200, json.dumps(content).encode())

    def _handle_disconnect(self, run: _Run) -> None:
        if not run.is_finished:
            self.n_cancelled += 1
            self._remove_run(run)
            self._engine.cancel(run.run_id, self._clock.now_ms)

    def _remove_run(self, run: _Run) -> None:
        run.is_finished = True
        self._runs.pop(run.run_id, None)

    def _abort_run(self, run: _Run) -> None:
        if run.is_finished:
            return
        self._remove_run(run)
        self._engine.cancel(run.run_id, self._clock.now_ms)
        run.request.transport.abortConnection()

    def _abort_all_runs(self) -> None:
        for run in list(self._runs.values()):
            self._abort_run(run)


def _skip(chunks: list[bytes], n_bytes: int) -> list[bytes]:
    remaining = list(chunks)
    while remaining and n_bytes >= len(remaining[0]):
        n_bytes -= len(remaining.pop(0))
    if remaining and n_bytes:
        remaining[0] = remaining[0][n_bytes:]
    return remaining or [b""]

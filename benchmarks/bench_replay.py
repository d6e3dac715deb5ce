"""Recording and replay of traces: inputs per second on one core."""

import io
import time
from collections.abc import Iterator

from benchmarks._measurement import Measurement
from damaskrill.kernel import build_kernel
from damaskrill.messages import (
    BackendEnded,
    BackendFirstToken,
    DispatchAttempt,
    HostEntry,
    HostListRead,
    Member,
    Request,
    RequestArrived,
    TextRead,
    Tick,
)
from damaskrill.traces import StreamSink, TraceReader, TraceRecorder, replay_trace
from damaskrill.utils import check_random_state

N_CHATS = 20_000
N_TICKS_PER_CHAT = 1
N_DOSSIERS = 200
INTERVAL_MS = 20
ANSWER_MS = 15
DEADLINE_MS = 60_000
N_SERVERS = 16
OWN = Member(address="10.0.0.1:7000", data_centre="bole", incarnation="a")
NS_PER_S = 1_000_000_000
NS_PER_US = 1_000


def build_text() -> bytes:
    """Return a text with one service."""
    sections = ["[service dossier-review]\nkind = engine\n", "[data_centre bole]\n"]
    sections += [
        f"[backend_server engine-{n}]\nservice = dossier-review\n"
        f"address = 10.1.0.{n}:8000\ndata_centre = bole\n"
        for n in range(1, N_SERVERS + 1)
    ]
    return "\n".join(sections).encode()


def record_chats(seed: int) -> tuple[bytes, int, int]:
    """Record chats sent through one router.

    Returns
    -------
    tuple
        Trace, number of its inputs, and time spent on recording, in nanoseconds.
    """
    random = check_random_state(seed)
    buffer = io.BytesIO()
    kernel = build_kernel(own=OWN, random_state=seed)
    recorder = TraceRecorder(own=OWN, random_state=seed, sink=StreamSink(stream=buffer))
    recording_ns = 0

    def feed(message, at_ms):  # type: ignore[no-untyped-def]
        nonlocal recording_ns
        start_ns = time.process_time_ns()
        recorder.record_input(message, at_ms)
        recording_ns += time.process_time_ns() - start_ns
        return kernel.decide(message, at_ms)

    host = HostEntry(address=OWN.address, data_centre=OWN.data_centre)
    feed(HostListRead(hosts=(host,)), 0)
    feed(TextRead(version=1, content=build_text()), 0)
    for n in range(N_CHATS):
        at_ms = n * INTERVAL_MS
        for _ in range(N_TICKS_PER_CHAT):
            feed(Tick(), at_ms)
        request = Request(
            request_id=f"request-{n}",
            service="dossier-review",
            team=f"team-{random.randrange(10)}",
            dossier=f"dossier-{random.randrange(N_DOSSIERS)}",
            deadline_ms=at_ms + DEADLINE_MS,
        )
        for effect in feed(RequestArrived(request=request), at_ms):
            if isinstance(effect, DispatchAttempt):
                token = BackendFirstToken(attempt_id=effect.attempt_id, latency_ms=5)
                feed(token, at_ms + ANSWER_MS)
                ended = BackendEnded(
                    attempt_id=effect.attempt_id, n_bytes=100, digest="ab"
                )
                feed(ended, at_ms + ANSWER_MS)
    return buffer.getvalue(), recorder.n_inputs, recording_ns


def measure(seed: int) -> Iterator[Measurement]:
    """Measure recording, reading without decisions, and replay with decisions."""
    trace, n_inputs, recording_ns = record_chats(seed)
    lines = trace.splitlines(keepends=True)
    parameters = {"n_inputs": n_inputs}
    yield Measurement(
        measure="recorder_time_per_input",
        policy="damaskrill",
        value=round(recording_ns / NS_PER_US / n_inputs, 2),
        unit="us",
        seed=seed,
        parameters=parameters,
    )
    yield Measurement(
        measure="recorder_bytes_per_input",
        policy="damaskrill",
        value=round(len(trace) / n_inputs, 1),
        unit="B",
        seed=seed,
        parameters=parameters,
    )
    start_ns = time.process_time_ns()
    n_read = sum(1 for _ in TraceReader(lines=lines, path="memory"))
    read_ns = time.process_time_ns() - start_ns
    assert n_read == n_inputs
    start_ns = time.process_time_ns()
    result = replay_trace(TraceReader(lines=lines, path="memory"))
    replay_ns = time.process_time_ns() - start_ns
    assert result.n_inputs == n_inputs
    for policy, duration_ns in (("read only", read_ns), ("damaskrill", replay_ns)):
        yield Measurement(
            measure="replay_events_per_second",
            policy=policy,
            value=round(n_inputs * NS_PER_S / duration_ns),
            unit="events/s",
            seed=seed,
            parameters=parameters,
        )

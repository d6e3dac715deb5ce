"""Metrics of one router, with label sets that stay small for a fleet of any size."""

from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from damaskrill.control import ControlBudget, ControlClass
from damaskrill.messages import EventName, LoggedEvent

__all__ = ["RouterMetrics"]

MS_PER_S = 1_000
# Services beyond this number share one label. The operators' text of the target
# deployment names 37 models.
MAX_SERVICE_LABELS = 100
OTHER = "other"
NO_CAUSE = "none"
FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.63, 1.0, 2.0, 5.0, 15.0, float("inf"))
BETWEEN_TOKENS_BUCKETS_S = (0.005, 0.01, 0.02, 0.031, 0.05, 0.1, 0.5, float("inf"))
QUEUE_WAIT_BUCKETS_S = (0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, float("inf"))
# Types of payloads and frames that carry requests and answers of callers. All other
# types are control traffic.
WORK_TYPES = frozenset(
    {
        "AnswerHead",
        "AttemptEnded",
        "AttemptFailed",
        "AttemptQueued",
        "AttemptRefused",
        "AttemptStarted",
        "CancelAttempt",
        "Chunk",
        "ForwardRequest",
        "ForwardedAnswer",
        "OfferAttempt",
    }
)


class RouterMetrics:
    """Counters and histograms of kernel events, and gauges of one router.

    Notes
    -----
    No metric has a label for the team, chat, caller or backend server.
    """

    def __init__(self) -> None:
        self._registry = Registry()
        self._services: set[str] = set()
        self._requests = self._counter(
            "damaskrill_requests_total",
            "Requests by service, outcome and nearest cause.",
        )
        self._events = self._counter(
            "damaskrill_events_total", "Events of the kernel by name."
        )
        self._first_token = self._histogram(
            "damaskrill_first_token_seconds",
            "Time from a request's arrival to the first token.",
            FIRST_TOKEN_BUCKETS_S,
        )
        self._between_tokens = self._histogram(
            "damaskrill_between_tokens_seconds",
            "Mean time between the tokens of one answer.",
            BETWEEN_TOKENS_BUCKETS_S,
        )
        self._queue_wait = self._histogram(
            "damaskrill_queue_wait_seconds",
            "Time in the owner's queue.",
            QUEUE_WAIT_BUCKETS_S,
        )
        self._peer_bytes = self._gauge(
            "damaskrill_peer_bytes",
            "Bytes to and from other routers since the start, by kind of traffic.",
        )
        self._control_bytes = self._gauge(
            "damaskrill_control_bytes",
            "Bytes that the control budget has counted since the start, by class.",
        )
        self._control_dropped = self._gauge(
            "damaskrill_control_dropped",
            "Control messages that the budget did not let through, by class.",
        )
        self._control_rate = self._gauge(
            "damaskrill_control_bytes_last_second",
            "Control bytes of the last whole second, sent and received.",
        )
        self._state = self._gauge(
            "damaskrill_state", "Present numbers of this router by name."
        )

    def observe_event(self, event: LoggedEvent) -> None:
        """Count a kernel event."""
        self._events.inc({"event": event.name.value})
        service = self._service_label(event.service)
        match event.name:
            case EventName.REQUEST_ENDED:
                cause = event.causes[0].code.value if event.causes else NO_CAUSE
                labels = {"service": service, "outcome": event.outcome, "cause": cause}
                self._requests.inc(labels)
                if event.between_tokens_ms:
                    seconds = event.between_tokens_ms / MS_PER_S
                    self._between_tokens.observe({"service": service}, seconds)
            case EventName.FIRST_TOKEN:
                seconds = event.latency_ms / MS_PER_S
                self._first_token.observe({"service": service}, seconds)
            case EventName.ATTEMPT_DISPATCHED:
                seconds = event.wait_ms / MS_PER_S
                self._queue_wait.observe({"service": service}, seconds)

    def set_state(self, numbers: Mapping[str, int]) -> None:
        """Set the current state values; their names must form a small, fixed set."""
        for name, value in numbers.items():
            self._state.set({"name": name}, value)

    def set_peer_bytes(
        self, sent: Mapping[str, int], received: Mapping[str, int]
    ) -> None:
        """Set the bytes sent to and received from other routers, by payload type."""
        for direction, by_type in (("sent", sent), ("received", received)):
            totals = {"work": 0, "control": 0}
            for name, n_bytes in by_type.items():
                totals["work" if name in WORK_TYPES else "control"] += n_bytes
            for kind, n_bytes in totals.items():
                self._peer_bytes.set({"direction": direction, "kind": kind}, n_bytes)

    def set_control(self, budget: ControlBudget) -> None:
        """Set the counts of the control budget, by class."""
        for each in ControlClass:
            name = each.name.lower()
            sent = {"class": name, "direction": "sent"}
            received = {"class": name, "direction": "received"}
            self._control_bytes.set(sent, budget.n_bytes_sent(each))
            self._control_bytes.set(received, budget.n_bytes_received(each))
            self._control_dropped.set({"class": name}, budget.n_dropped(each))
        self._control_rate.set({}, budget.bytes_last_second)

    def render(self) -> bytes:
        """Render all metrics in the Prometheus text format."""
        content, _ = render(self._registry, [])
        return bytes(content)

    def _service_label(self, service: str) -> str:
        if service in self._services:
            return service
        if len(self._services) >= MAX_SERVICE_LABELS:
            return OTHER
        self._services.add(service)
        return service

    def _counter(self, name: str, sentence: str) -> Counter:
        return Counter(name, sentence, registry=self._registry)

    def _gauge(self, name: str, sentence: str) -> Gauge:
        return Gauge(name, sentence, registry=self._registry)

    def _histogram(
        self, name: str, sentence: str, buckets: tuple[float, ...]
    ) -> Histogram:
        return Histogram(name, sentence, registry=self._registry, buckets=buckets)

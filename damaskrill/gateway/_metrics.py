"""Metrics of one gateway process."""

from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from damaskrill.gateway._slot_metrics import SlotMetrics
from damaskrill.steering import AnswerTimings

__all__ = ["GatewayMetrics"]

# In seconds, from an ordinary answer in the local data centre to the longest time
# limits.
BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, float("inf"))
# Number of services with separate histograms. Further services share one, so that
# scraping stays cheap with a configuration of many services.
MAX_SERVICES = 16
OTHER_SERVICES = "other"
# Number of servers whose slowness is shown, those that stated it first.
MAX_SERVERS = 64
MS_PER_S = 1_000


class GatewayMetrics:
    """Counters and gauges with small label sets.

    Attributes
    ----------
    slots : SlotMetrics
        Metrics of the scheduling of slots.
    """

    def __init__(self) -> None:
        self._registry = Registry()
        self._requests = Counter(
            "damaskrill_gateway_requests_total",
            "Requests by outcome and cause.",
            registry=self._registry,
        )
        self._failures = Counter(
            "damaskrill_gateway_attempts_failed_total",
            "Attempts at backend servers that failed, by cause.",
            registry=self._registry,
        )
        self._retries = Counter(
            "damaskrill_gateway_retries_total",
            "Retries that the budget of a service allowed or denied.",
            registry=self._registry,
        )
        self._blocked_parts = Counter(
            "damaskrill_gateway_prompt_parts_blocked_total",
            "Prompt parts that were blocked because servers crashed under them.",
            registry=self._registry,
        )
        self._blocked_requests = Counter(
            "damaskrill_gateway_requests_blocked_total",
            "Requests that were blocked because servers crashed under them.",
            registry=self._registry,
        )
        self._urgencies = Counter(
            "damaskrill_gateway_engine_urgency_total",
            "Requests sent to engines, by the urgency that was stated to them.",
            registry=self._registry,
        )
        self._engine_choices = Counter(
            "damaskrill_gateway_engine_choices_total",
            "Requests sent to engines, by data centre and by whether they hold parts.",
            registry=self._registry,
        )
        self._wait_times = self._histogram("wait", "Arrival until the last sending.")
        self._first_answer_times = self._histogram(
            "first_answer", "Arrival until the first event."
        )
        self._pause_times = self._histogram(
            "longest_pause", "Longest pause of a stream."
        )
        self.slots = SlotMetrics(self._registry)
        self._services: set[str] = set()
        self._slowness = Gauge(
            "damaskrill_gateway_server_slowness",
            "How long work takes at a backend server, relative to the usual time.",
            registry=self._registry,
        )
        self._servers: set[str] = set()
        self._state = Gauge(
            "damaskrill_gateway_state",
            "Present numbers of this router by name.",
            registry=self._registry,
        )

    def record_request(self, outcome: str, cause: str) -> None:
        """Record the end of a request."""
        self._requests.inc({"outcome": outcome, "cause": cause})

    def observe_times(self, times: AnswerTimings, service: str) -> None:
        """Record how long the phases of a request took."""
        labels = {"service": self._find_label(service)}
        for histogram, elapsed_ms in (
            (self._wait_times, times.sent_ms),
            (self._first_answer_times, times.first_ms),
            (self._pause_times, times.longest_pause_ms or None),
        ):
            if elapsed_ms is not None:
                histogram.observe(labels, elapsed_ms / MS_PER_S)

    def record_retry(self, service: str, *, is_allowed: bool) -> None:
        """Record whether the budget of a service allowed a retry."""
        result = "allowed" if is_allowed else "denied"
        self._retries.inc({"service": self._find_label(service), "result": result})

    def record_failure(self, cause: str) -> None:
        """Record a failed attempt."""
        self._failures.inc({"cause": cause})

    def observe_slowness(self, server_id: str, slowness: float | None) -> None:
        """Record what a server stated; None if it does not say."""
        if slowness is None:
            return
        if server_id not in self._servers and len(self._servers) < MAX_SERVERS:
            self._servers.add(server_id)
        if server_id in self._servers:
            self._slowness.set({"server": server_id}, slowness)

    def record_blocked(self, *, is_request: bool) -> None:
        """Record that a request or a prompt part was blocked."""
        counter = self._blocked_requests if is_request else self._blocked_parts
        counter.inc({})

    def record_urgency(self, urgency: int) -> None:
        """Record the urgency that was stated to an engine for a request."""
        self._urgencies.inc({"urgency": str(urgency)})

    def record_engine_choice(self, *, is_local: bool, is_cached: bool) -> None:
        """Record where a request was sent, and whether its parts are cached there."""
        labels = {
            "data_centre": "own" if is_local else "other",
            "parts": "cached" if is_cached else "not_cached",
        }
        self._engine_choices.inc(labels)

    def _find_label(self, service: str) -> str:
        if service not in self._services and len(self._services) < MAX_SERVICES:
            self._services.add(service)
        return service if service in self._services else OTHER_SERVICES

    def _histogram(self, name: str, doc: str) -> Histogram:
        return Histogram(
            f"damaskrill_gateway_{name}_seconds",
            doc,
            registry=self._registry,
            buckets=BUCKETS_S,
        )

    def render(self, state: Mapping[str, float]) -> bytes:
        """Return all metrics in Prometheus' text format."""
        for name, value in state.items():
            self._state.set({"name": name}, value)
        content, _ = render(self._registry, [])
        return bytes(content)

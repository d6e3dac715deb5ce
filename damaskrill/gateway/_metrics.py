"""Metrics of one gateway process."""

from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Registry, render

__all__ = ["GatewayMetrics"]


class GatewayMetrics:
    """Counters and gauges with small label sets."""

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
        self._state = Gauge(
            "damaskrill_gateway_state",
            "Present numbers of this router by name.",
            registry=self._registry,
        )

    def note_request(self, outcome: str, cause: str) -> None:
        """Count a request's end."""
        self._requests.inc({"outcome": outcome, "cause": cause})

    def note_failure(self, cause: str) -> None:
        """Count a failed attempt."""
        self._failures.inc({"cause": cause})

    def render(self, state: Mapping[str, float]) -> bytes:
        """Return all metrics in the text format that scrapers read."""
        for name, value in state.items():
            self._state.set({"name": name}, value)
        content, _ = render(self._registry, [])
        return bytes(content)

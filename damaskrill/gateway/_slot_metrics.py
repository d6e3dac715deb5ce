"""Metrics of the scheduling of slots."""

from collections.abc import Iterable

from aioprometheus import Counter, Gauge, Histogram, Registry

from damaskrill.scheduling import SchedulerStatus, SlotRefusalReason

__all__ = ["SlotMetrics"]

# In seconds, from a slot that is free to the longest time limits of plain services.
BUCKETS_S = (0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, float("inf"))
# Services and priorities with separate series; others share one.
MAX_SERVICES = 8
MAX_PRIORITY = 4
OTHER_SERVICES = "other"
MS_PER_S = 1_000


class SlotMetrics:
    """Decisions and waits by service and priority.

    Parameters
    ----------
    registry : Registry
        Registry of the process.
    """

    def __init__(self, registry: Registry) -> None:
        self._decisions = Counter(
            "damaskrill_gateway_slot_decisions_total",
            "Requests for slots by service, priority and decision.",
            registry=registry,
        )
        self._predicted = Histogram(
            "damaskrill_gateway_slot_wait_predicted_seconds",
            "Predicted wait for a slot of requests that got one.",
            registry=registry,
            buckets=BUCKETS_S,
        )
        self._waited = Histogram(
            "damaskrill_gateway_slot_wait_seconds",
            "Wait for a slot of requests that got one.",
            registry=registry,
            buckets=BUCKETS_S,
        )
        self._state = Gauge(
            "damaskrill_gateway_slots",
            "Present figures of the services that this router schedules.",
            registry=registry,
        )
        self._services: set[str] = set()
        self._shown: set[tuple[tuple[str, str], ...]] = set()

    def record_assigned(
        self, service: str, priority: int, *, predicted_ms: float, waited_ms: float
    ) -> None:
        """Record a slot that is used, and the wait for it."""
        labels = self._labels(service, priority)
        self._decisions.inc({**labels, "decision": "assigned"})
        self._predicted.observe(labels, predicted_ms / MS_PER_S)
        self._waited.observe(labels, waited_ms / MS_PER_S)

    def record_refused(
        self, service: str, priority: int, reason: SlotRefusalReason
    ) -> None:
        """Record a refusal."""
        labels = self._labels(service, priority)
        self._decisions.inc({**labels, "decision": reason.value})

    def show(self, statuses: Iterable[SchedulerStatus]) -> None:
        """Set the present figures; those of services that ended become 0."""
        shown: set[tuple[tuple[str, str], ...]] = set()
        for status in statuses:
            service = self._name(status.service)
            figures: dict[tuple[str, str], float] = {
                ("assigned", ""): status.n_assigned,
                ("expired", ""): status.n_expired,
                ("drain_per_s", ""): status.drain_per_s,
                ("work_ms", ""): status.work_ms,
            }
            for priority, each in status.by_priority.items():
                key = ("waiting", _name_priority(priority))
                figures[key] = figures.get(key, 0) + each.n_waiting
            for number, decile in enumerate(status.waits, start=1):
                figures["predicted_ms", f"decile {number}"] = decile.predicted_ms
                figures["waited_ms", f"decile {number}"] = decile.waited_ms
            for (name, part), value in figures.items():
                labels = {"service": service, "name": name, "part": part}
                self._state.set(labels, float(value))
                shown.add(tuple(labels.items()))
        for ended in self._shown - shown:
            self._state.set(dict(ended), 0.0)
        self._shown = shown

    def _labels(self, service: str, priority: int) -> dict[str, str]:
        return {"service": self._name(service), "priority": _name_priority(priority)}

    def _name(self, service: str) -> str:
        if service not in self._services and len(self._services) < MAX_SERVICES:
            self._services.add(service)
        return service if service in self._services else OTHER_SERVICES


def _name_priority(priority: int) -> str:
    return str(priority) if priority < MAX_PRIORITY else f"{MAX_PRIORITY} and more"

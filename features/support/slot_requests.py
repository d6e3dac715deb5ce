"""Builder of a scheduler with the requests and decisions of a test."""

from damaskrill.scheduling import (
    ReleaseOutcome,
    SlotRelease,
    SlotRequest,
    SlotScheduler,
)
from damaskrill.steering import ServerLoad

__all__ = ["ScheduledService"]


class ScheduledService:
    """Scheduler of a service, driven by one router on a virtual clock."""

    def __init__(self, servers, *, is_takeover=False):
        self.now_ms = 1_000.0
        self.core = SlotScheduler(
            service="records", started_at_ms=self.now_ms, is_takeover=is_takeover
        )
        self.decisions = {}
        self.n_decisions = {}
        self.set_servers(servers)

    def _apply(self, decisions):
        for each in decisions:
            self.decisions[each.number] = each
            self.n_decisions[each.number] = self.n_decisions.get(each.number, 0) + 1
        return decisions

    def set_servers(self, servers):
        return self._apply(self.core.set_servers(servers, self.now_ms))

    def request(self, number, **values):
        values = {"target_left_ms": 400.0, "limit_left_ms": 1_500.0, **values}
        request = SlotRequest(
            router="10.0.0.1:7000", number=number, service="records", **values
        )
        return self._apply(self.core.request(request, self.now_ms))

    def release(
        self, number, outcome=ReleaseOutcome.COMPLETED, *, load=None, duration_ms=20.0
    ):
        release = SlotRelease(
            router="10.0.0.1:7000",
            number=number,
            outcome=outcome,
            duration_ms=duration_ms,
            load=load,
        )
        return self._apply(self.core.release(release, self.now_ms))

    def state(self, server, n_requests, *, slowness=1.0, age_ms=0.0):
        load = ServerLoad(
            n_running=n_requests, n_waiting=0, n_slots=4, slowness=slowness
        )
        self.core.observe_load(server, load, self.now_ms, age_ms)

    def advance(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while (due_ms := self.core.next_due_ms()) is not None and due_ms <= end_ms:
            self.now_ms = max(self.now_ms, due_ms)
            self._apply(self.core.advance(self.now_ms))
        self.now_ms = end_ms

    def numbers(self, kind):
        return sorted(n for n, each in self.decisions.items() if isinstance(each, kind))

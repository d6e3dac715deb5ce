"""Scheduling side: the schedulers of the services that this router is asked for."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from attrs import define, evolve, field

from damaskrill.eventlog import DecisionLog
from damaskrill.gateway._slot_outbox import SlotOutbox
from damaskrill.mesh import SlotBatch, SlotsHeld
from damaskrill.scheduling import (
    ReleaseOutcome,
    SchedulerStatus,
    SlotAssignment,
    SlotDecision,
    SlotQueued,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotScheduler,
)
from damaskrill.steering import ServerLoad
from damaskrill.utils import monotonic_now_ms

__all__ = ["SlotHost", "StatedLoad"]

# State of a service that nobody asks for is kept for longer than callers wait before
# they come back.
IDLE_MS = 10_000
# Interval at which the servers are read again: a tenth of the time in which they start,
# leave or are left out after failures.
SERVERS_INTERVAL_MS = 50
# Services with few slots in a deployment; others are not scheduled here.
MAX_SERVICES = 64
# An assignment that was sent so long ago has arrived, or is lost with its link.
ON_THE_WAY_MS = 300.0
# Assignments are remembered for longer than a request lasts.
MAX_HELD_MS = 600_000

StatedLoad = tuple[int, ServerLoad, float]


@define(kw_only=True, eq=False)
class _Service:
    scheduler: SlotScheduler
    asked_at_ms: float
    servers_at_ms: float = float("-inf")
    # Requests that wait, and the notice that was sent for each.
    waiting: dict[tuple[str, int], SlotQueued] = field(factory=dict)
    assigned_at_ms: dict[tuple[str, int], float] = field(factory=dict)
    told_at_ms: dict[int, float] = field(factory=dict)
    timer: asyncio.TimerHandle | None = None
    due_ms: float | None = None


class SlotHost:
    """Schedulers of the services that routers ask this one for.

    Parameters
    ----------
    own_address : str
        Address at which other routers reach this one.
    find_servers : callable
        Returns the slots of the servers of a service that may get requests now, by
        short hash.
    find_loads : callable
        Returns short hash, load and age in milliseconds of each server's newest load
        that peers have told.
    is_alone : callable
        Returns whether no other router is known.
    outbox : SlotOutbox
        Sender of the decisions to other routers.
    deliver : callable
        Handles a decision on a request of this router, given the service.
    log : DecisionLog
        Log of decisions.

    Notes
    -----
    Answers whoever asks. While views differ two routers may schedule the same service;
    each counts what the servers state, in which the other's requests show.
    """

    def __init__(
        self,
        *,
        own_address: str,
        find_servers: Callable[[str], Mapping[int, int]],
        find_loads: Callable[[str], Iterable[StatedLoad]],
        is_alone: Callable[[], bool],
        outbox: SlotOutbox,
        deliver: Callable[[str, SlotDecision], None],
        log: DecisionLog,
    ) -> None:
        self._own_address = own_address
        self._find_servers = find_servers
        self._find_loads = find_loads
        self._is_alone = is_alone
        self._outbox = outbox
        self._deliver = deliver
        self._log = log
        self._services: dict[str, _Service] = {}

    @property
    def services(self) -> frozenset[str]:
        """Services that this router schedules."""
        return frozenset(self._services)

    def statuses(self) -> list[SchedulerStatus]:
        """Return the figures of all schedulers for operators."""
        return [each.scheduler.status() for each in self._services.values()]

    def handle(self, source: str, batch: SlotBatch) -> None:
        """Handle requests and releases of a router."""
        for message in batch.messages:
            match message:
                case SlotRequest():
                    self.request(evolve(message, router=source))
                case SlotRelease():
                    self.release(batch.service, evolve(message, router=source))
                case SlotsHeld():
                    self._release_lost(source, batch.service, message.numbers)
                case SlotAssignment() | SlotQueued() | SlotRefusal():
                    # For the asking side.
                    pass

    def request(self, request: SlotRequest) -> None:
        """Decide on a request, or state again that it waits."""
        now_ms = monotonic_now_ms()
        service = self._services.get(request.service)
        if service is None:
            service = self._start(request.service, now_ms)
            if service is None:
                return
        service.asked_at_ms = now_ms
        self._update_servers(request.service, service, now_ms)
        key = (request.router, request.number)
        queued = service.waiting.get(key)
        if queued is not None:
            self._answer(request.service, queued)
            return
        self._apply(
            request.service, service, service.scheduler.request(request, now_ms)
        )

    def release(self, name: str, release: SlotRelease) -> None:
        """Free the slot of a request, or withdraw one that waits."""
        service = self._services.get(name)
        if service is None:
            return
        key = (release.router, release.number)
        service.waiting.pop(key, None)
        service.assigned_at_ms.pop(key, None)
        decisions = service.scheduler.release(release, monotonic_now_ms())
        self._apply(name, service, decisions)

    def _release_lost(self, source: str, name: str, held: frozenset[int]) -> None:
        service = self._services.get(name)
        if service is None:
            return
        before_ms = monotonic_now_ms() - ON_THE_WAY_MS
        lost = [
            number
            for (router, number), at_ms in service.assigned_at_ms.items()
            if router == source and number not in held and at_ms < before_ms
        ]
        for number in lost:
            outcome = ReleaseOutcome.BROKEN
            self.release(
                name, SlotRelease(router=source, number=number, outcome=outcome)
            )
        if lost:
            self._log.write(
                "slot_releases_lost", service=name, peer=source, n_slots=len(lost)
            )

    def observe_load(self, name: str, server: int, load: ServerLoad) -> None:
        """Apply a load that a server stated to this router."""
        service = self._services.get(name)
        if service is not None:
            now_ms = monotonic_now_ms()
            service.told_at_ms[server] = now_ms
            service.scheduler.observe_load(server, load, now_ms)

    def maintain(self) -> None:
        """Drop the state of services that nobody asks for."""
        now_ms = monotonic_now_ms()
        for name, service in list(self._services.items()):
            if now_ms - service.asked_at_ms > IDLE_MS and not service.waiting:
                self._stop_timer(service)
                del self._services[name]
                self._log.write("scheduling_ended", service=name)
            else:
                for key, at_ms in list(service.assigned_at_ms.items()):
                    if now_ms - at_ms > MAX_HELD_MS:
                        del service.assigned_at_ms[key]
                self._update_servers(name, service, now_ms)
                self._set_timer(name, service)

    def close(self) -> None:
        """Stop all timers."""
        for service in self._services.values():
            self._stop_timer(service)

    def _start(self, name: str, now_ms: float) -> _Service | None:
        if len(self._services) >= MAX_SERVICES:
            self._log.warn("scheduling_refused", service=name)
            return None
        is_takeover = not self._is_alone()
        scheduler = SlotScheduler(
            service=name, started_at_ms=now_ms, is_takeover=is_takeover
        )
        service = _Service(scheduler=scheduler, asked_at_ms=now_ms)
        self._services[name] = service
        self._log.write("scheduling_started", service=name)
        return service

    def _update_servers(self, name: str, service: _Service, now_ms: float) -> None:
        if now_ms - service.servers_at_ms < SERVERS_INTERVAL_MS:
            return
        service.servers_at_ms = now_ms
        for server, load, age_ms in self._find_loads(name):
            # A load that has been applied already would seem fresh again.
            if now_ms - age_ms > service.told_at_ms.get(server, float("-inf")):
                service.told_at_ms[server] = now_ms - age_ms
                service.scheduler.observe_load(server, load, now_ms, age_ms)
        servers = self._find_servers(name)
        for server in service.told_at_ms.keys() - servers.keys():
            del service.told_at_ms[server]
        self._apply(name, service, service.scheduler.set_servers(servers, now_ms))

    def _apply(
        self, name: str, service: _Service, decisions: Iterable[SlotDecision]
    ) -> None:
        for each in decisions:
            key = (each.router, each.number)
            match each:
                case SlotQueued():
                    service.waiting[key] = each
                case SlotAssignment():
                    service.waiting.pop(key, None)
                    service.assigned_at_ms[key] = monotonic_now_ms()
                case SlotRefusal():
                    service.waiting.pop(key, None)
            self._answer(name, each)
        self._set_timer(name, service)

    def _answer(self, name: str, decision: SlotDecision) -> None:
        if decision.router == self._own_address:
            self._deliver(name, decision)
        else:
            self._outbox.put(decision.router, name, decision)

    def _set_timer(self, name: str, service: _Service) -> None:
        due_ms = service.scheduler.next_due_ms()
        if due_ms is not None and service.due_ms is not None:
            if due_ms >= service.due_ms:
                # The timer that is set advances soon enough, and is set again then.
                return
        self._stop_timer(service)
        if due_ms is not None:
            delay_ms = max(0.0, due_ms - monotonic_now_ms())
            service.due_ms = due_ms
            service.timer = asyncio.get_running_loop().call_later(
                delay_ms / 1_000, self._advance, name, service
            )

    def _stop_timer(self, service: _Service) -> None:
        if service.timer is not None:
            service.timer.cancel()
        service.timer = service.due_ms = None

    def _advance(self, name: str, service: _Service) -> None:
        service.timer = service.due_ms = None
        now_ms = monotonic_now_ms()
        self._update_servers(name, service, now_ms)
        self._apply(name, service, service.scheduler.advance(now_ms))

"""Scheduling of slots in one router: its asking and its scheduling side."""

import secrets
from collections.abc import Callable, Iterable, Mapping

from damaskrill.catalog import BackendServer, Catalog
from damaskrill.eventlog import DecisionLog
from damaskrill.gateway._slot_client import HeldSlot, SlotClient, SlotQuestion
from damaskrill.gateway._slot_host import SlotHost, StatedLoad
from damaskrill.gateway._slot_metrics import SlotMetrics
from damaskrill.gateway._slot_outbox import SlotOutbox
from damaskrill.mesh import MemberTable, SchedulerChoice, SlotBatch
from damaskrill.scheduling import (
    ReleaseOutcome,
    SchedulerStatus,
    SlotAssignment,
    SlotRefusal,
)
from damaskrill.steering import ServerLoad, ServerLoads, short_server_id
from damaskrill.utils import monotonic_now_ms

__all__ = ["SlotScheduling"]

# Bits of the number of the first request. A process that starts anew at the address of
# another one does not repeat its numbers.
NUMBER_BITS = 48


class SlotScheduling:
    """Asks for slots, and schedules the services that this router is asked for.

    Parameters
    ----------
    members : MemberTable
        Live routers.
    catalog : Catalog
        Configuration and servers.
    loads : ServerLoads
        Number of requests at each server, as peers tell it.
    send : callable
        Sends a batch of messages to the router with an address.
    may_schedule : callable
        Returns whether a server may get requests now, as far as this router knows.
    log : DecisionLog
        Log of decisions.
    metrics : SlotMetrics
        Metrics of the slots.

    Notes
    -----
    Only services whose servers state how long work takes at the moment are scheduled,
    none of engines, and none while routers of an earlier build are a tenth of all.
    """

    def __init__(
        self,
        *,
        members: MemberTable,
        catalog: Catalog,
        loads: ServerLoads,
        send: Callable[[str, SlotBatch], None],
        may_schedule: Callable[[BackendServer], bool],
        log: DecisionLog,
        metrics: SlotMetrics,
    ) -> None:
        self._members = members
        self._catalog = catalog
        self._loads = loads
        self._may_schedule = may_schedule
        self._metrics = metrics
        self._choice = SchedulerChoice(members)
        # What servers that state their slowness have stated last, and when.
        self._stated: dict[tuple[str, int], tuple[ServerLoad, float]] = {}
        outbox = SlotOutbox(send)
        own_address = members.own.address
        self.client = SlotClient(
            own_address=own_address,
            first_number=secrets.randbits(NUMBER_BITS),
            find_scheduler=self._choice.find,
            outbox=outbox,
            log=log,
        )
        self.host = self.client.host = SlotHost(
            own_address=own_address,
            find_servers=self._find_servers,
            find_loads=self._find_loads,
            is_alone=lambda: members.n_members == 1,
            outbox=outbox,
            deliver=self.client.deliver,
            log=log,
        )

    def is_scheduled(self, service: str) -> bool:
        """Return whether requests for a service need slots."""
        if not self._stated or not self._members.do_most_ask:
            return False
        spec = self._catalog.find_service(service)
        if spec is None or spec.is_engine:
            return False
        servers = self._catalog.find_servers(service)
        return any(each.key in self._stated for each in servers)

    def observe_load(self, server: BackendServer, load: ServerLoad) -> None:
        """Apply a load that a server has stated in an answer."""
        if load.slowness is None:
            self._stated.pop(server.key, None)
        else:
            self._stated[server.key] = (load, monotonic_now_ms())
        self.host.observe_load(server.service, short_server_id(server.key), load)

    async def ask(self, question: SlotQuestion) -> HeldSlot | SlotRefusal | None:
        """Ask for a slot; None if no scheduler decides in time."""
        return await self.client.ask(question)

    def release(
        self,
        slot: HeldSlot,
        outcome: ReleaseOutcome,
        *,
        duration_ms: float = 0.0,
        load: ServerLoad | None = None,
    ) -> None:
        """Release a slot."""
        self.client.release(slot, outcome, duration_ms=duration_ms, load=load)

    def record_assigned(
        self, question: SlotQuestion, assignment: SlotAssignment, waited_ms: float
    ) -> None:
        """Count a slot that is used."""
        self._metrics.record_assigned(
            question.service,
            question.priority,
            predicted_ms=assignment.predicted_ms,
            waited_ms=waited_ms,
        )

    def record_refused(self, question: SlotQuestion, refusal: SlotRefusal) -> None:
        """Count a refusal."""
        self._metrics.record_refused(
            question.service, question.priority, refusal.reason
        )

    def handle(self, source: str, batch: SlotBatch) -> None:
        """Handle messages of another router."""
        self.host.handle(source, batch)
        self.client.handle(source, batch)

    def maintain(self) -> None:
        """Do what is due now and then."""
        for key in self._stated.keys() - self._catalog.registered_keys():
            del self._stated[key]
        self.host.maintain()
        self.client.maintain(self._members.addresses())

    def stop(self) -> None:
        """Let other routers schedule; what waits here is still answered."""
        self._members.stop_scheduling(monotonic_now_ms())

    def close(self) -> None:
        """Stop all timers."""
        self.host.close()

    def statuses(self) -> list[SchedulerStatus]:
        """Return the figures of the services that this router schedules."""
        return self.host.statuses()

    def _find_servers(self, service: str) -> Mapping[int, int]:
        servers = self._catalog.find_servers(service)
        # Those that are left out after failures are used if no other is left.
        chosen = [each for each in servers if self._may_schedule(each)] or servers
        return {short_server_id(each.key): max(1, each.n_slots) for each in chosen}

    def _find_loads(self, service: str) -> Iterable[StatedLoad]:
        now_ms = monotonic_now_ms()
        for server in self._catalog.find_servers(service):
            load, stated_at_ms = self._stated.get(server.key, (None, 0.0))
            age_ms = now_ms - stated_at_ms
            n_requests = self._loads.told_by_peers(server.key)
            told_age_ms = self._loads.age_ms(server.key, now_ms)
            if n_requests is not None and (load is None or told_age_ms < age_ms):
                n_running = min(n_requests, max(1, server.n_slots))
                n_waiting, age_ms = n_requests - n_running, told_age_ms
                load = ServerLoad(n_running=n_running, n_waiting=n_waiting)
            if load is not None:
                yield short_server_id(server.key), load, age_ms

"""Aggregation of each service's load over the fleet, for the mean loads of owners."""

from collections.abc import Sequence

from damaskrill.base import BaseDecider
from damaskrill.kernel._registry import registry
from damaskrill.loads._aggregators import N_GROUPS, AggregatorMap, ServiceNumbers
from damaskrill.loads._sums import LoadTable
from damaskrill.messages import (
    FleetView,
    FleetViewChanged,
    LoadScope,
    LoadSums,
    MeanLoadKnown,
    Member,
    Message,
    OwnedLoad,
    PeerDelivered,
    ProcessPaused,
    SendToPeer,
    Tick,
)

__all__ = ["LoadMeans"]

MIN_INTERVAL_MS = 500
MAX_INTERVAL_MS = 2_000
INTERVAL_PER_MEMBER_MS = 30
VALID_MS = 6_000
# A sum is fresh for two intervals of its sender plus the transit time.
TRANSIT_MS = 300


@registry.register("decider", "load_means")
class LoadMeans(BaseDecider):
    """Send this router's load sums to aggregators, and aggregate some services itself.

    Parameters
    ----------
    own : Member
        This process.
    random_state : int
        Not used.

    Notes
    -----
    Services are divided into groups; each data centre has one aggregator per group. A
    router sends its own sums to the aggregators of its data centre, which reply with
    the sums over the fleet; the aggregators of a group exchange the sums of their
    data centres. The traffic of a router thus grows with the number of routers in its
    data centre and the number of data centres. The send interval grows with the
    fleet, so that the traffic stays within its bound.
    """

    handles = (FleetViewChanged, ProcessPaused, OwnedLoad, LoadSums, Tick)

    def __init__(self, *, own: Member, random_state: int = 0) -> None:
        self._own = own
        self._view: FleetView | None = None
        self._aggregators: AggregatorMap | None = None
        self._numbers = ServiceNumbers()
        self._owned: dict[int, tuple[int, int]] = {}
        self._local_sums = LoadTable(valid_ms=VALID_MS)
        self._remote_sums = LoadTable(valid_ms=VALID_MS)
        self._next_ms = 0

    def decide(self, message: Message, now_ms: int) -> Sequence[Message]:
        """Handle one message."""
        match message:
            case OwnedLoad():
                self._handle_owned_load(message)
            case Tick():
                return self._handle_tick(now_ms)
            case PeerDelivered(sender=sender, payload=LoadSums() as sums):
                return self._handle_sums(sums, sender, now_ms)
            case FleetViewChanged(view=view):
                self._apply_view(view)
            case ProcessPaused():
                self._clear_sums()
        return ()

    def _apply_view(self, view: FleetView) -> None:
        previous = self._view
        self._view = view
        if previous is None or previous.members != view.members:
            self._aggregators = AggregatorMap(view)
        numbers = ServiceNumbers(list(view.text.services))
        if numbers.digest != self._numbers.digest:
            self._numbers = numbers
            self._clear_sums()

    def _clear_sums(self) -> None:
        self._owned.clear()
        self._local_sums.clear()
        self._remote_sums.clear()

    def _handle_owned_load(self, owned: OwnedLoad) -> None:
        number = self._numbers.number_of(owned.service)
        if number is not None:
            self._owned[number] = (owned.load_sum, owned.n_servers)

    # Sending

    def _handle_tick(self, now_ms: int) -> Sequence[Message]:
        if now_ms < self._next_ms or self._view is None or self._aggregators is None:
            return ()
        self._next_ms = now_ms + self._interval_ms
        return [*self._send_router_sums(), *self._send_data_centre_sums(now_ms)]

    @property
    def _interval_ms(self) -> int:
        n_members = len(self._view.members) if self._view else 1
        interval_ms = INTERVAL_PER_MEMBER_MS * n_members
        return max(MIN_INTERVAL_MS, min(MAX_INTERVAL_MS, interval_ms))

    @property
    def _fresh_ms(self) -> int:
        return 2 * self._interval_ms + TRANSIT_MS

    def _send_router_sums(self) -> list[Message]:
        assert self._aggregators is not None
        by_aggregator: dict[str, dict[int, tuple[int, int]]] = {}
        for number, sums in sorted(self._owned.items()):
            aggregator = self._aggregators.local_aggregator(number % N_GROUPS)
            if aggregator is not None:
                by_aggregator.setdefault(aggregator.address, {})[number] = sums
        return self._send(LoadScope.ROUTER, by_aggregator)

    def _send_data_centre_sums(self, now_ms: int) -> list[Message]:
        assert self._aggregators is not None
        by_aggregator: dict[str, dict[int, tuple[int, int]]] = {}
        for number in self._local_sums.services():
            group = number % N_GROUPS
            if not self._aggregators.is_aggregator(group):
                continue
            total = self._local_sums.total(number, now_ms, fresh_ms=self._fresh_ms)
            for aggregator in self._aggregators.remote_aggregators(group):
                by_aggregator.setdefault(aggregator.address, {})[number] = total
        return self._send(LoadScope.DATA_CENTRE, by_aggregator)

    def _send(
        self, scope: LoadScope, by_aggregator: dict[str, dict[int, tuple[int, int]]]
    ) -> list[Message]:
        return [
            SendToPeer(address=address, payload=self._build_sums(scope, sums))
            for address, sums in by_aggregator.items()
        ]

    def _build_sums(
        self, scope: LoadScope, sums: dict[int, tuple[int, int]]
    ) -> LoadSums:
        return LoadSums(
            scope=scope,
            services_digest=self._numbers.digest,
            services=tuple(sums),
            load_sums=tuple(load_sum for load_sum, _ in sums.values()),
            n_servers=tuple(n_servers for _, n_servers in sums.values()),
        )

    # Receiving

    def _handle_sums(
        self, sums: LoadSums, sender: Member, now_ms: int
    ) -> Sequence[Message]:
        if sums.services_digest != self._numbers.digest:
            return ()
        match sums.scope:
            case LoadScope.ROUTER:
                self._store_sums(self._local_sums, sums, sender.address, now_ms)
                return self._reply(sums, sender, now_ms)
            case LoadScope.DATA_CENTRE:
                self._store_sums(self._remote_sums, sums, sender.data_centre, now_ms)
            case LoadScope.FLEET:
                return self._handle_fleet_sums(sums)
        return ()

    def _store_sums(
        self, table: LoadTable, sums: LoadSums, source: str, now_ms: int
    ) -> None:
        rows = zip(sums.services, sums.load_sums, sums.n_servers, strict=False)
        for number, load_sum, n_servers in rows:
            table.put(number, source, load_sum, n_servers, now_ms)

    def _reply(self, sums: LoadSums, sender: Member, now_ms: int) -> Sequence[Message]:
        totals = {}
        for number in sums.services:
            local_sum, n_local = self._local_sums.total(
                number, now_ms, fresh_ms=self._fresh_ms
            )
            remote_sum, n_remote = self._remote_sums.total(
                number, now_ms, fresh_ms=self._fresh_ms
            )
            totals[number] = (local_sum + remote_sum, n_local + n_remote)
        answer = self._build_sums(LoadScope.FLEET, totals)
        return (SendToPeer(address=sender.address, payload=answer),)

    def _handle_fleet_sums(self, sums: LoadSums) -> Sequence[Message]:
        mean_loads = []
        rows = zip(sums.services, sums.load_sums, sums.n_servers, strict=False)
        for number, load_sum, n_servers in rows:
            name = self._numbers.name_of(number)
            if name is not None:
                mean_loads.append(
                    MeanLoadKnown(service=name, load_sum=load_sum, n_servers=n_servers)
                )
        return mean_loads

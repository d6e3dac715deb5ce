"""What excuses a router and a request; a fault elsewhere in the fleet never does."""

from collections.abc import Callable, Iterable, Sequence

from attrs import frozen

from damaskrill.soak._callers import DEADLINE_MS, Exchange
from damaskrill.soak._disruptions import RECONNECT_S, Disruptions
from damaskrill.soak._routers import GRACE_PERIOD_S

__all__ = ["Excuses"]

# A request that has used this fraction of its time may have been ended for lack of it.
MAX_TIME_FRACTION = 0.9
# One that was cut without an answer, only after this fraction.
MAX_CUT_TIME_FRACTION = 0.97
# A stopping router may end a request that came until this time after its signal, in
# seconds, if the server still works in the last part of the grace period.
MAX_SENT_AFTER_STOP_S = 3.0
GRACE_FRACTION = 5 / 6


@frozen(kw_only=True)
class Excuses:
    """Excuses of routers and of single requests, each in a method of its own.

    Parameters
    ----------
    disruptions : Disruptions
        Times of faults and of planned work.
    starts_of : callable
        Returns when processes of a router, given its number, started.

    Notes
    -----
    All times are on the monotonic clock, in seconds.
    """

    disruptions: Disruptions
    starts_of: Callable[[int], Sequence[float]]

    def is_in_touch(
        self, router: int, begin: float, end: float, *, needs_store: bool = True
    ) -> bool:
        """Return whether the time bounds hold for a router in a whole period.

        Parameters
        ----------
        router : int
            Number of the router.
        begin, end : float
            The period.
        needs_store : bool, default=True
            Whether trouble of the store excuses the router.

        Notes
        -----
        A router that is cut off from the servers, but not from the store nor from other
        routers, is in touch.
        """
        return not (
            self.disruptions.hit_process(router, begin, end)
            or self.has_started(router, begin, end)
            or self.is_stopping(router, begin, end)
            or (needs_store and self.disruptions.hit_store(begin, end))
        )

    def has_started(self, router: int, begin: float, end: float) -> bool:
        """Return whether a process of a router started in a period or just before."""
        return any(begin - RECONNECT_S <= at <= end for at in self.starts_of(router))

    def is_stopping(self, router: int, begin: float, end: float) -> bool:
        """Return whether a router had been told to stop and not started again."""
        stops = self.disruptions.stops_before(router, end)
        return bool(stops) and not any(
            max(stops) < at < begin for at in self.starts_of(router)
        )

    def is_router_disrupted(self, exchange: Exchange) -> bool:
        """Return whether the caller's router had an unplanned fault at the time."""
        begin, end = exchange.sent_at, exchange.ended_at
        return self.disruptions.hit_router(exchange.router, begin, end)

    def may_peer_have_ended(self, exchange: Exchange) -> bool:
        """Return whether a router ended meanwhile, for a failure told as a whole."""
        begin, end = exchange.sent_at, exchange.ended_at
        return exchange.is_complete and self.disruptions.began_somewhere(begin, end)

    def is_server_disrupted(
        self, servers: Iterable[str], begin: float, end: float
    ) -> bool:
        """Return whether one of the servers that ran a request had a fault."""
        return any(self.disruptions.hit_server(each, begin, end) for each in servers)

    def is_time_used(self, exchange: Exchange) -> bool:
        """Return whether a request ended about when its time did."""
        duration_ms = (exchange.ended_at - exchange.sent_at) * 1_000
        is_cut = not exchange.is_complete
        fraction = MAX_CUT_TIME_FRACTION if is_cut else MAX_TIME_FRACTION
        return duration_ms >= fraction * DEADLINE_MS

    def outlasts_grace(self, exchange: Exchange, works_until: float) -> bool:
        """Return whether a server still worked near the end of a grace period."""
        stops = self.disruptions.stops_before(exchange.router, exchange.ended_at)
        return any(
            exchange.sent_at <= stopped_at + MAX_SENT_AFTER_STOP_S
            and exchange.ended_at <= stopped_at + GRACE_PERIOD_S + 1
            and works_until >= stopped_at + GRACE_FRACTION * GRACE_PERIOD_S
            for stopped_at in stops
        )

"""Scheduler of the slots of one service."""

import math
from collections.abc import Mapping

from damaskrill.scheduling._demand import TeamDemand
from damaskrill.scheduling._model import (
    ReleaseOutcome,
    SlotAssignment,
    SlotDecision,
    SlotRefusal,
    SlotRefusalReason,
    SlotRelease,
    SlotRequest,
)
from damaskrill.scheduling._shares import MAX_PRIORITY, Share, TeamShares
from damaskrill.scheduling._slot_servers import SlotServers
from damaskrill.scheduling._status import PriorityFigures, SchedulerStatus, WaitHistory
from damaskrill.scheduling._wait_prediction import (
    MAX_WAIT_MS,
    RetrySpread,
    clip_ms,
    predict_wait_ms,
)
from damaskrill.scheduling._waiting import (
    FITTING_FRACTION,
    Rank,
    WaitingQueue,
    WaitingRequest,
)
from damaskrill.steering import ServerLoad

__all__ = ["SlotScheduler"]

# Interval at which capacity is divided anew.
SHARES_INTERVAL_MS = 100
# A slot without a release is free this long after the limit of its request: the time
# for the release to come, on a link that loses packets.
EXPIRY_SLACK_MS = 500
# Interval at which waiting requests are tried while no release is due: servers' stated
# loads and speeds age.
RECHECK_MS = 20

# Requests that wait at most, whatever time routers state: some seconds of the work of a
# service with few slots.
MAX_WAITING = 2_000


class SlotScheduler:
    """Decides which requests of a service get the slots of its servers.

    Parameters
    ----------
    service : str
        The service.
    started_at_ms : float
        Current time in milliseconds.
    is_takeover : bool, default=False
        Whether another scheduler may have assigned slots before.

    Notes
    -----
    Handles more requests than the servers of a service can run, of several teams and
    priorities, through many routers: requests inside their team's share go first, among
    them the more urgent, among them those with the least time left. A request that
    cannot start in time is refused at once; one that is kept is refused later only if
    servers are lost or its limit ends.
    """

    def __init__(
        self, *, service: str, started_at_ms: float, is_takeover: bool = False
    ) -> None:
        self._service = service
        self._servers = SlotServers(
            started_at_ms=started_at_ms, is_takeover=is_takeover
        )
        self._demand = TeamDemand(started_at_ms=started_at_ms)
        self._shares = TeamShares()
        self._shares_due_ms = -math.inf
        self._queue = WaitingQueue()
        self._retry_spread = RetrySpread()
        self._waits = WaitHistory()
        self._figures = PriorityFigures()
        self._n_arrivals = 0
        self._n_expired = 0
        self._now_ms = self._advanced_at_ms = started_at_ms

    def set_servers(
        self, servers: Mapping[int, int], now_ms: float
    ) -> list[SlotDecision]:
        """Set the servers that may get requests now.

        Parameters
        ----------
        servers : mapping of int to int
            Slots by short hash of the server's incarnation.
        now_ms : float
            Current time in milliseconds.

        Returns
        -------
        decisions : list of SlotDecision
            If slots were lost, refusals of waiting requests that cannot start in time.
        """
        decisions = self._catch_up(now_ms)
        are_slots_lost = self._servers.set_servers(servers)
        decisions += self._assign_waiting(now_ms)
        if are_slots_lost:
            self._divide(now_ms)
            decisions += self._refuse_hopeless(now_ms)
        return decisions

    def observe_load(
        self, server: int, load: ServerLoad, now_ms: float, age_ms: float = 0.0
    ) -> None:
        """Apply a load that a server stated to this router or another one.

        Parameters
        ----------
        server : int
            Short hash of the server's incarnation.
        load : ServerLoad
            The stated load.
        now_ms : float
            Current time in milliseconds.
        age_ms : float, default=0.0
            Time since the server stated it.
        """
        self._now_ms = now_ms
        self._servers.observe_load(server, load, now_ms, age_ms)

    def request(self, request: SlotRequest, now_ms: float) -> list[SlotDecision]:
        """Decide on a request: a slot, a place in the queue, or a refusal.

        Notes
        -----
        If a request comes twice, its slot or that it waits is stated again, unless it
        may no longer run at the server of its slot: that slot is free then.
        """
        return self._catch_up(now_ms) + self._decide(request, now_ms)

    def _decide(self, request: SlotRequest, now_ms: float) -> list[SlotDecision]:
        key = (request.router, request.number)
        lease = self._servers.find(key)
        if lease is not None:
            if self._servers.is_usable(lease.server, request.excluded):
                again = SlotAssignment(
                    router=request.router, number=request.number, server=lease.server
                )
                return [again]
            # A router that has started again numbers its requests from the beginning.
            self._servers.release(key, now_ms, is_unused=True)
        if (queued := self._queue.find(key)) is not None:
            return [queued.queued()]
        priority = min(max(0, request.priority), MAX_PRIORITY)
        self._demand.record(request.team, priority, now_ms)
        if now_ms >= self._shares_due_ms:
            self._divide(now_ms)
        share = self._shares.classify(request.team, priority)
        self._n_arrivals += 1
        waiting = self._rank(request, share, priority, now_ms)
        if share is Share.FITTING:
            longest_ms = self._longest_wait_ms(waiting, now_ms)
            if waiting.predicted_ms > FITTING_FRACTION * longest_ms:
                waiting = self._rank(request, Share.INSIDE, priority, now_ms)
        if not self._servers.is_servable(request.excluded):
            return [self._refuse(waiting, SlotRefusalReason.NO_SERVER, now_ms)]
        self._queue.add(waiting)
        decisions = self._assign_waiting(now_ms)
        if key not in self._queue:
            return decisions
        longest_ms = self._longest_wait_ms(waiting, now_ms)
        if waiting.predicted_ms > longest_ms or len(self._queue) > MAX_WAITING:
            self._queue.remove(key)
            server = self._choose(waiting, math.inf, now_ms)
            if server is not None:
                return [*decisions, self._assign(waiting, server, now_ms)]
            reason = (
                SlotRefusalReason.NO_TIME
                if share <= Share.FITTING
                else SlotRefusalReason.TEAM_SHARE
            )
            return [*decisions, self._refuse(waiting, reason, now_ms)]
        return [*decisions, waiting.queued()]

    def release(self, release: SlotRelease, now_ms: float) -> list[SlotDecision]:
        """Free a slot, or withdraw a request that waits.

        Notes
        -----
        A release that comes twice, late or for an unknown number changes nothing.
        """
        decisions = self._catch_up(now_ms)
        key = (release.router, release.number)
        if self._queue.remove(key) is not None:
            return decisions
        lease = self._servers.find(key)
        if lease is None:
            return decisions
        if release.load is not None:
            self._servers.observe_load(
                lease.server, release.load, now_ms, 0.0, ended=key
            )
        has_run = release.outcome in (ReleaseOutcome.COMPLETED, ReleaseOutcome.FAILED)
        self._servers.release(key, now_ms, is_unused=not has_run)
        if has_run:
            self._servers.learn_time(
                lease, duration_ms=release.duration_ms, now_ms=now_ms
            )
        elif release.outcome is ReleaseOutcome.REJECTED:
            self._servers.observe_rejection(lease.server, now_ms)
        return decisions + self._assign_waiting(now_ms)

    def advance(self, now_ms: float) -> list[SlotDecision]:
        """Free expired slots, and refuse requests that have no time left."""
        self._now_ms = self._advanced_at_ms = now_ms
        self._n_expired += self._servers.expire(now_ms)
        decisions: list[SlotDecision] = []
        for each in self._queue:
            if each.rank.limit_at_ms - self._servers.work_ms <= now_ms:
                self._queue.remove(each.key)
                reason = SlotRefusalReason.NO_TIME
                decisions.append(self._refuse(each, reason, now_ms))
        return decisions + self._assign_waiting(now_ms)

    def _catch_up(self, now_ms: float) -> list[SlotDecision]:
        """Do first what was due in a pause of this process."""
        self._now_ms = now_ms
        if now_ms - self._advanced_at_ms <= EXPIRY_SLACK_MS:
            return []
        return self.advance(now_ms)

    def next_due_ms(self) -> float | None:
        """Return when `advance` is to be called; None if nothing is due."""
        due_ms = self._servers.next_expiry_ms
        if self._queue:
            recheck_ms = self._advanced_at_ms + RECHECK_MS
            due_ms = min(due_ms, max(self._now_ms, recheck_ms))
        return None if math.isinf(due_ms) else due_ms

    def status(self) -> SchedulerStatus:
        """Return the figures for operators."""
        return SchedulerStatus(
            service=self._service,
            n_waiting=len(self._queue),
            n_assigned=self._servers.n_assigned,
            n_expired=self._n_expired,
            drain_per_s=self._servers.drain_per_s(self._now_ms),
            work_ms=self._servers.work_ms,
            by_priority=self._figures.by_priority(
                each.rank.priority for each in self._queue
            ),
            largest_teams=self._shares.largest_teams,
            waits=self._waits.deciles(),
        )

    def _divide(self, now_ms: float) -> None:
        self._shares_due_ms = now_ms + SHARES_INTERVAL_MS
        self._shares.update(
            self._demand.rates(now_ms),
            self._servers.capacity_per_s(now_ms),
            self._demand.other_rates(now_ms),
        )

    def _rank(
        self, request: SlotRequest, share: Share, priority: int, now_ms: float
    ) -> WaitingRequest:
        """Rank a request and predict its wait."""
        rank = Rank(
            share=share,
            priority=priority,
            limit_at_ms=now_ms + clip_ms(request.limit_left_ms),
            number=self._n_arrivals,
        )
        n_ahead = self._queue.n_ahead(rank)
        return WaitingRequest.build(
            request,
            rank,
            now_ms=now_ms,
            work_ms=self._servers.work_ms,
            n_ahead=n_ahead,
            predicted_ms=self._predict_ms(rank, n_ahead, now_ms),
        )

    def _predict_ms(self, rank: Rank, n_ahead: int, now_ms: float) -> float:
        return predict_wait_ms(
            n_ahead=n_ahead,
            drain_per_s=self._servers.drain_per_s(now_ms),
            rate_before_per_s=self._shares.rate_before(rank.share, rank.priority),
        )

    def _longest_wait_ms(self, waiting: WaitingRequest, now_ms: float) -> float:
        """Return how long a request may wait and still be worth a slot.

        Notes
        -----
        That is until its target. If its share and those before it can all be served,
        nothing is lost for them by serving it late, up to its limit.
        """
        end_ms = waiting.target_at_ms
        if not self._shares.is_short(waiting.rank.share):
            end_ms = max(end_ms, waiting.rank.limit_at_ms)
        return end_ms - now_ms - self._servers.work_ms

    def _assign_waiting(self, now_ms: float) -> list[SlotDecision]:
        decisions: list[SlotDecision] = []
        if not self._queue or not (open_servers := self._servers.find_open(now_ms)):
            return decisions
        self._queue.promote(now_ms)
        n_before = 0
        for each in self._queue.in_order(now_ms):
            server = None
            if not open_servers <= each.request.excluded:
                server = self._choose(each, n_before, now_ms)
            if server is None:
                n_before += 1
                continue
            self._queue.remove(each.key)
            decisions.append(self._assign(each, server, now_ms))
            open_servers = self._servers.find_open(now_ms)
            if not open_servers:
                break
        return decisions

    def _choose(
        self, waiting: WaitingRequest, n_before: float, now_ms: float
    ) -> int | None:
        return self._servers.choose(
            waiting.request.excluded,
            n_before=n_before,
            limit_left_ms=waiting.rank.limit_at_ms - now_ms,
            now_ms=now_ms,
        )

    def _assign(
        self, waiting: WaitingRequest, server: int, now_ms: float
    ) -> SlotAssignment:
        self._servers.assign(
            waiting.key,
            server,
            now_ms=now_ms,
            expires_at_ms=waiting.rank.limit_at_ms + EXPIRY_SLACK_MS,
        )
        waited_ms = now_ms - waiting.arrived_at_ms
        predicted_ms = waiting.predicted_ms if waited_ms > 0 else 0.0
        self._figures.count_assigned(waiting.rank.priority)
        if waited_ms > 0:
            self._waits.record(predicted_ms=predicted_ms, waited_ms=waited_ms)
        return SlotAssignment(
            router=waiting.request.router,
            number=waiting.request.number,
            server=server,
            predicted_ms=predicted_ms,
            waited_ms=waited_ms,
            n_ahead=waiting.n_ahead,
        )

    def _refuse_hopeless(self, now_ms: float) -> list[SlotDecision]:
        """Refuse waiting requests that cannot start in time after slots were lost."""
        decisions: list[SlotDecision] = []
        for each in self._queue:
            n_ahead = self._queue.n_ahead(each.rank)
            wait_ms = self._predict_ms(each.rank, n_ahead, now_ms)
            reason = SlotRefusalReason.NO_TIME
            if not self._servers.is_servable(each.request.excluded):
                reason = SlotRefusalReason.NO_SERVER
            elif wait_ms <= self._longest_wait_ms(each, now_ms):
                continue
            self._queue.remove(each.key)
            decisions.append(self._refuse(each, reason, now_ms))
        return decisions

    def _refuse(
        self, waiting: WaitingRequest, reason: SlotRefusalReason, now_ms: float
    ) -> SlotRefusal:
        self._figures.count_refused(waiting.rank.priority, reason)
        limit_left_ms = max(0.0, waiting.rank.limit_at_ms - now_ms)
        n_ahead = self._queue.n_ahead(waiting.rank)
        predicted_ms = (
            MAX_WAIT_MS
            if reason is SlotRefusalReason.NO_SERVER
            else self._predict_ms(waiting.rank, n_ahead, now_ms)
        )
        excess_ms = predicted_ms - max(0.0, self._longest_wait_ms(waiting, now_ms))
        return SlotRefusal(
            router=waiting.request.router,
            number=waiting.request.number,
            reason=reason,
            predicted_ms=predicted_ms,
            retry_after_ms=self._retry_spread.delay_ms(
                excess_ms=excess_ms, limit_left_ms=limit_left_ms
            ),
            n_ahead=n_ahead,
        )

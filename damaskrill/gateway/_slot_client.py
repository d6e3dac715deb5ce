"""Asking side: requests for slots, and the release of each slot that was assigned."""

import asyncio
import itertools
from collections.abc import Callable

from attrs import define, field, frozen

from damaskrill.eventlog import DecisionLog
from damaskrill.gateway._slot_host import SlotHost
from damaskrill.gateway._slot_outbox import SlotOutbox
from damaskrill.gateway._unanswering import UnansweringRouters
from damaskrill.mesh import MAX_HELD, SlotBatch, SlotsHeld
from damaskrill.scheduling import (
    ReleaseOutcome,
    SlotAssignment,
    SlotDecision,
    SlotQueued,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
)
from damaskrill.steering import ServerLoad
from damaskrill.utils import monotonic_now_ms

__all__ = ["HeldSlot", "SlotClient", "SlotQuestion"]

# Longest wait for an answer of the scheduler, as a fraction of the target; with what
# the router itself takes it stays below an eighth, after which a caller can still be
# served in time.
ANSWER_FRACTION = 0.1
# Interval at which a scheduler that is asked is told all slots that are held: a slot
# whose release was lost with a link is unused for not much longer.
HELD_INTERVAL_MS = 250.0
MS_PER_S = 1_000


@frozen(kw_only=True)
class SlotQuestion:
    """What a request needs.

    Parameters
    ----------
    service, team : str
        Service, and name of the caller's team; empty if it has none.
    priority : int
        Priority of the team, else of the route.
    target_ms : float
        Target latency of the route, in milliseconds.
    target_at_ms, limit_at_ms : float
        Times until which the target is met and at which the request ends.
    excluded : frozenset of int
        Short hashes of the servers that may not run it.
    """

    service: str
    team: str
    priority: int
    target_ms: float
    target_at_ms: float
    limit_at_ms: float
    excluded: frozenset[int]


@frozen(kw_only=True)
class HeldSlot:
    """Slot that was assigned and has to be released once.

    Parameters
    ----------
    scheduler : str
        Address of the router that assigned it.
    service : str
        The service.
    assignment : SlotAssignment
        The assignment.
    """

    scheduler: str
    service: str
    assignment: SlotAssignment


@define(kw_only=True, eq=False)
class _Pending:
    scheduler: str
    service: str
    decision: SlotAssignment | SlotRefusal | None = None
    queued: SlotQueued | None = None
    is_lost: bool = False
    news: asyncio.Event = field(factory=asyncio.Event)

    @property
    def is_over(self) -> bool:
        """Whether no decision is to be waited for any more."""
        return self.decision is not None or self.is_lost


class SlotClient:
    """Asks the schedulers of services for slots, and releases them.

    Parameters
    ----------
    own_address : str
        Address at which other routers reach this one.
    first_number : int
        Number before the first request; one that routers which were told of an earlier
        process of this router do not take for an older one's.
    find_scheduler : callable
        Returns the router to ask for a service, given those that are not to be asked;
        None if there is none.
    outbox : SlotOutbox
        Sender of messages to other routers.
    log : DecisionLog
        Log of decisions.

    Notes
    -----
    Handles schedulers that are dead, frozen or cut off: a request waits for an answer
    for a tenth of its target at most, and while it is queued as long as it was told,
    then the scheduler is asked again. The others that wait there are told at once.
    """

    def __init__(
        self,
        *,
        own_address: str,
        first_number: int,
        find_scheduler: Callable[[str, list[str]], str | None],
        outbox: SlotOutbox,
        log: DecisionLog,
    ) -> None:
        self._own_address = own_address
        self._first_number = first_number
        self._last_number = first_number
        self._numbers = itertools.count(first_number + 1)
        self._find_scheduler = find_scheduler
        self._outbox = outbox
        self._log = log
        self._unanswering = UnansweringRouters()
        self._pending: dict[int, _Pending] = {}
        self._held: dict[int, HeldSlot] = {}
        self._heard_at_ms: dict[str, float] = {}
        self._told_at_ms: dict[tuple[str, str], float] = {}
        self.host: SlotHost

    @property
    def n_pending(self) -> int:
        """Number of requests that wait for a decision."""
        return len(self._pending)

    @property
    def n_held(self) -> int:
        """Number of slots that are assigned and not released."""
        return len(self._held)

    async def ask(self, question: SlotQuestion) -> HeldSlot | SlotRefusal | None:
        """Ask for a slot.

        Returns
        -------
        HeldSlot, SlotRefusal or None
            None if no scheduler decides in time. A slot has to be released.
        """
        address = self._find_scheduler(
            question.service, self._unanswering.find(monotonic_now_ms())
        )
        if address is None:
            return None
        number = self._last_number = next(self._numbers)
        pending = _Pending(scheduler=address, service=question.service)
        self._pending[number] = pending
        try:
            await self._wait(question, number, pending)
        except BaseException:
            # The caller has left, perhaps in the moment of the decision.
            self._give_up(number, pending)
            raise
        finally:
            del self._pending[number]
        if pending.decision is None:
            self._give_up(number, pending)
        return self._held.get(number) or _to_refusal(pending.decision)

    def release(
        self,
        slot: HeldSlot,
        outcome: ReleaseOutcome,
        *,
        duration_ms: float = 0.0,
        load: ServerLoad | None = None,
    ) -> None:
        """Release a slot; what is released already is left alone."""
        number = slot.assignment.number
        if self._held.pop(number, None) is None:
            return
        release = SlotRelease(
            router=self._own_address,
            number=number,
            outcome=outcome,
            duration_ms=duration_ms,
            load=load,
        )
        self._send_release(slot.scheduler, slot.service, release)

    def handle(self, source: str, batch: SlotBatch) -> None:
        """Handle the decisions of another router."""
        now_ms = monotonic_now_ms()
        for message in batch.messages:
            match message:
                case SlotAssignment() | SlotRefusal() | SlotQueued():
                    self._heard_at_ms[source] = now_ms
                    self._unanswering.record_answer(source, now_ms)
                    self._handle_decision(source, batch.service, message)
                case SlotRequest() | SlotRelease() | SlotsHeld():
                    # For the scheduling side.
                    pass

    def deliver(self, service: str, decision: SlotDecision) -> None:
        """Handle a decision of this router's own scheduler."""
        self._handle_decision(self._own_address, service, decision)

    def maintain(self, schedulers: frozenset[str]) -> None:
        """Let requests that wait at a router which is lost go on without a slot."""
        for address in self._heard_at_ms.keys() - schedulers:
            del self._heard_at_ms[address]
        for key in list(self._told_at_ms):
            if key[0] not in schedulers:
                del self._told_at_ms[key]
        for pending in self._pending.values():
            if pending.scheduler not in schedulers:
                _lose(pending)

    async def _wait(
        self, question: SlotQuestion, number: int, pending: _Pending
    ) -> None:
        answer_ms = ANSWER_FRACTION * question.target_ms
        while not pending.is_over and monotonic_now_ms() < question.limit_at_ms:
            asked_at_ms = monotonic_now_ms()
            pending.queued = None
            self._send_request(question, number, pending)
            await _wait_for_news(
                pending, asked_at_ms + answer_ms, ends_with_notice=True
            )
            if pending.is_over:
                return
            queued = pending.queued
            if queued is None:
                self._record_unanswered(question, pending, asked_at_ms)
                return
            until_ms = monotonic_now_ms() + queued.predicted_ms + answer_ms
            await _wait_for_news(pending, min(until_ms, question.limit_at_ms))

    def _send_request(
        self, question: SlotQuestion, number: int, pending: _Pending
    ) -> None:
        now_ms = monotonic_now_ms()
        request = SlotRequest(
            router=self._own_address,
            number=number,
            service=question.service,
            team=question.team,
            priority=question.priority,
            target_left_ms=question.target_at_ms - now_ms,
            limit_left_ms=max(0.0, question.limit_at_ms - now_ms),
            excluded=question.excluded,
        )
        if pending.scheduler == self._own_address:
            self.host.request(request)
        else:
            self._outbox.put(pending.scheduler, question.service, request)
            self._tell_held(pending.scheduler, question.service)

    def _tell_held(self, scheduler: str, service: str) -> None:
        now_ms = monotonic_now_ms()
        told_at_ms = self._told_at_ms.get((scheduler, service), float("-inf"))
        if now_ms - told_at_ms < HELD_INTERVAL_MS:
            return
        self._told_at_ms[scheduler, service] = now_ms
        numbers = frozenset(
            number
            for number, each in self._held.items()
            if each.scheduler == scheduler and each.service == service
        )
        if len(numbers) <= MAX_HELD:
            self._outbox.put(scheduler, service, SlotsHeld(numbers=numbers))

    def _send_release(self, scheduler: str, service: str, release: SlotRelease) -> None:
        if scheduler == self._own_address:
            self.host.release(service, release)
        else:
            self._outbox.put(scheduler, service, release)

    def _give_up(self, number: int, pending: _Pending) -> None:
        held = self._held.get(number)
        if held is not None:
            self.release(held, ReleaseOutcome.UNUSED)
        elif pending.decision is None:
            release = _build_unused(self._own_address, number)
            self._send_release(pending.scheduler, pending.service, release)

    def _handle_decision(
        self, source: str, service: str, decision: SlotDecision
    ) -> None:
        number = decision.number
        pending = self._pending.get(number)
        if pending is None or pending.scheduler != source or pending.is_over:
            self._handle_late(source, service, decision)
            return
        match decision:
            case SlotQueued():
                pending.queued = decision
            case SlotAssignment():
                pending.decision = decision
                self._held[number] = HeldSlot(
                    scheduler=source, service=service, assignment=decision
                )
            case SlotRefusal():
                pending.decision = decision
        pending.news.set()

    def _handle_late(self, source: str, service: str, decision: SlotDecision) -> None:
        # What this process asked for and gave up it has released then.
        is_known = self._first_number < decision.number <= self._last_number
        if isinstance(decision, SlotAssignment) and not is_known:
            release = _build_unused(self._own_address, decision.number)
            self._send_release(source, service, release)

    def _record_unanswered(
        self, question: SlotQuestion, pending: _Pending, asked_at_ms: float
    ) -> None:
        address = pending.scheduler
        if self._heard_at_ms.get(address, float("-inf")) > asked_at_ms:
            # It answers others; only this message was late or lost.
            return
        if self._unanswering.record_unanswered(address, monotonic_now_ms()):
            self._log.warn(
                "scheduler_unanswering",
                peer=address,
                service=question.service,
                wait_ms=round(monotonic_now_ms() - asked_at_ms),
            )
        for each in self._pending.values():
            if each.scheduler == address:
                _lose(each)


def _lose(pending: _Pending) -> None:
    pending.is_lost = pending.decision is None
    pending.news.set()


async def _wait_for_news(
    pending: _Pending, until_ms: float, *, ends_with_notice: bool = False
) -> None:
    """Wait for a decision, or for the notice that the request is queued."""
    while not pending.is_over and not (ends_with_notice and pending.queued is not None):
        left_ms = until_ms - monotonic_now_ms()
        if left_ms <= 0:
            return
        pending.news.clear()
        try:
            async with asyncio.timeout(left_ms / MS_PER_S):
                await pending.news.wait()
        except TimeoutError:
            return


def _build_unused(router: str, number: int) -> SlotRelease:
    return SlotRelease(router=router, number=number, outcome=ReleaseOutcome.UNUSED)


def _to_refusal(decision: SlotAssignment | SlotRefusal | None) -> SlotRefusal | None:
    return decision if isinstance(decision, SlotRefusal) else None

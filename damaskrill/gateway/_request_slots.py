"""Slots of one request: asked for, checked, and released when its attempts end."""

from collections.abc import Set as AbstractSet
from typing import TYPE_CHECKING

from attrs import define, field

from damaskrill.catalog import BackendServer, Route, Team
from damaskrill.gateway._attempt import (
    AttemptResult,
    CompleteAnswer,
    NotRun,
    StreamEnded,
)
from damaskrill.gateway._sent_request import SentRequest
from damaskrill.gateway._slot_client import HeldSlot, SlotQuestion
from damaskrill.scheduling import ReleaseOutcome, SlotRefusal, SlotRefusalReason
from damaskrill.steering import (
    Refusal,
    RefusalCause,
    RequestMetadata,
    ServerRequirements,
    effective_priority,
    short_server_id,
)

if TYPE_CHECKING:
    from damaskrill.gateway._dispatcher import RequestDispatcher

__all__ = ["RequestSlots"]

# How often a slot is asked for before one attempt: the second time without the server
# that this router knows to be of no use now.
MAX_ASKED = 2
STATUS_SERVER_ERROR = 500
# Longer predictions only say that there is no room for requests of this rank.
LONGEST_DESCRIBED_MS = 60_000
CAUSES = {
    SlotRefusalReason.NO_TIME: RefusalCause.NO_SLOT_IN_TIME,
    SlotRefusalReason.TEAM_SHARE: RefusalCause.TEAM_OVER_SHARE,
}


@define(kw_only=True, eq=False)
class RequestSlots:
    """Slots that one request holds, by server.

    Parameters
    ----------
    dispatcher : RequestDispatcher
        State that all exchanges share.
    metadata : RequestMetadata
        Metadata of the request.
    arrived_at_ms : float
        Time of arrival in milliseconds.

    Attributes
    ----------
    refusal : SlotRefusal or None
        Why the next attempt got no slot; None if it got one or needs none.
    """

    dispatcher: "RequestDispatcher"
    metadata: RequestMetadata
    arrived_at_ms: float
    refusal: SlotRefusal | None = None
    _held: dict[tuple[str, int], HeldSlot] = field(factory=dict, init=False)

    async def choose_server(
        self,
        route: Route,
        team: Team | None,
        requirements: ServerRequirements,
        *,
        tried: AbstractSet[tuple[str, int]],
        limit_at_ms: float,
    ) -> BackendServer | None:
        """Return the server at which the request has a slot.

        Returns
        -------
        BackendServer or None
            None if it has none: either `refusal` tells why, or it is placed as if the
            service were not scheduled.
        """
        self.refusal = None
        dispatcher, service = self.dispatcher, requirements.service
        if self.metadata.is_relayed or requirements.origin is not None:
            return None
        if not dispatcher.slots.is_scheduled(service):
            return None
        priority = effective_priority(route, team)
        excluded = dispatcher.find_excluded(requirements, tried)
        for _ in range(MAX_ASKED):
            question = SlotQuestion(
                service=service,
                team=team.name if team else "",
                priority=priority,
                target_ms=route.target_ms,
                target_at_ms=self.arrived_at_ms + route.target_ms,
                limit_at_ms=limit_at_ms,
                excluded=excluded,
            )
            asked_at_ms = dispatcher.now_ms
            decision = await dispatcher.slots.ask(question)
            match decision:
                case None:
                    return None
                case SlotRefusal():
                    self._record_refusal(question, decision)
                    return None
                case HeldSlot():
                    waited_ms = dispatcher.now_ms - asked_at_ms
                    server = self._accept(question, decision, requirements, waited_ms)
                    if server is not None:
                        return server
                    excluded |= {decision.assignment.server}
        return None

    def build_refusal(self) -> tuple[Refusal, str] | None:
        """Return the refusal for the caller, and a detail to log; None if none."""
        if self.refusal is None:
            return None
        refusal = Refusal(
            status=503,
            cause=CAUSES[self.refusal.reason],
            retry_after_ms=max(1, round(self.refusal.retry_after_ms)),
        )
        return refusal, _describe(self.refusal.n_ahead, self.refusal.predicted_ms)

    def end(self, sent: SentRequest) -> None:
        """Release the slot of an attempt that has ended."""
        slot = self._held.pop(sent.server.key, None)
        if slot is not None:
            done = sent.attempt.done
            self.dispatcher.slots.release(
                slot,
                _find_outcome(done.result() if done.done() else None),
                duration_ms=self.dispatcher.now_ms - sent.sent_at_ms,
                load=sent.attempt.stated_load,
            )

    def discard(self, server: BackendServer) -> None:
        """Release the slot at a server to which the request was not sent."""
        slot = self._held.pop(server.key, None)
        if slot is not None:
            self.dispatcher.slots.release(slot, ReleaseOutcome.UNUSED)

    def close(self) -> None:
        """Release what has not been released: slots that were not used."""
        while self._held:
            _, slot = self._held.popitem()
            self.dispatcher.slots.release(slot, ReleaseOutcome.UNUSED)

    def _accept(
        self,
        question: SlotQuestion,
        slot: HeldSlot,
        requirements: ServerRequirements,
        waited_ms: float,
    ) -> BackendServer | None:
        dispatcher, assignment = self.dispatcher, slot.assignment
        # The scheduler may not know yet what this router knows of the server.
        keys = {
            each.key
            for each in dispatcher.catalog.find_servers(question.service)
            if short_server_id(each.key) == assignment.server
        }
        server = dispatcher.select(
            requirements, tried=set(), only=keys, only_healthy=True
        )
        if server is None and not dispatcher.has_healthy(requirements):
            server = dispatcher.select(requirements, tried=set(), only=keys)
        if server is None or server.key in self._held:
            dispatcher.slots.release(slot, ReleaseOutcome.UNUSED)
            dispatcher.log.write(
                "slot_not_used",
                request_id=self.metadata.request_id,
                service=question.service,
                peer=slot.scheduler,
            )
            return None
        self._held[server.key] = slot
        dispatcher.slots.record_assigned(question, assignment, waited_ms)
        if assignment.waited_ms or assignment.n_ahead:
            dispatcher.log.write(
                "slot_assigned",
                request_id=self.metadata.request_id,
                service=question.service,
                team=question.team,
                priority=question.priority,
                backend_server=server.server_id,
                peer=slot.scheduler,
                wait_ms=round(waited_ms),
                predicted_ms=round(assignment.predicted_ms),
                n_ahead=assignment.n_ahead,
                detail=_describe(assignment.n_ahead, assignment.predicted_ms),
            )
        return server

    def _record_refusal(self, question: SlotQuestion, refusal: SlotRefusal) -> None:
        self.dispatcher.slots.record_refused(question, refusal)
        cause = CAUSES.get(refusal.reason)
        if cause is None:
            # No server may run it now: it waits a moment for one, as without slots.
            return
        self.refusal = refusal
        self.dispatcher.log.write(
            "slot_refused",
            request_id=self.metadata.request_id,
            service=question.service,
            team=question.team,
            priority=question.priority,
            predicted_ms=round(refusal.predicted_ms),
            retry_after_ms=round(refusal.retry_after_ms),
            n_ahead=refusal.n_ahead,
            causes=[
                {
                    "code": cause.value,
                    "sentence": cause.sentence,
                    "subject": question.service,
                }
            ],
            detail=_describe(refusal.n_ahead, refusal.predicted_ms),
        )


def _describe(n_ahead: int, predicted_ms: float) -> str:
    wait = f"{predicted_ms:.0f} ms"
    if predicted_ms >= LONGEST_DESCRIBED_MS:
        wait = f"over {LONGEST_DESCRIBED_MS / 1_000:.0f} s"
    return f"{n_ahead} requests of higher rank waited before it, predicted wait {wait}"


def _find_outcome(result: AttemptResult | None) -> ReleaseOutcome:
    match result:
        case CompleteAnswer(head=head):
            is_error = head.status >= STATUS_SERVER_ERROR
            return ReleaseOutcome.FAILED if is_error else ReleaseOutcome.COMPLETED
        case StreamEnded():
            return ReleaseOutcome.COMPLETED
        case NotRun(is_other_server=is_other):
            return ReleaseOutcome.UNUSED if is_other else ReleaseOutcome.REJECTED
        case _:
            return ReleaseOutcome.BROKEN

"""Requests forwarded to other routers that are waiting for an outcome."""

from collections.abc import Callable

import attrs

from damaskrill.actions._waiters import Waiter
from damaskrill.messages import ForwardedAnswer, ForwardRequest, Request, SendToPeer

__all__ = ["Forward", "ForwardTable"]

RESEND_INTERVAL_MS = 1_000

UnreachableCheck = Callable[[str, str], bool]


@attrs.define(kw_only=True)
class Forward:
    """One request that was forwarded to another router.

    Parameters
    ----------
    request : Request
        The request, with this hop counted.
    waiter : Waiter
        Receiver of the outcome.
    address, incarnation : str
        Target router; the incarnation is empty if any process at the address may
        handle the request.
    only_outcome : bool
        Whether only a recorded outcome is requested and nothing may run.
    is_fallback : bool
        Whether the target replaces an unreachable router.
    hop_id : str
        Correlation ID of the latest transmission.
    resend_at_ms : int
        Time of the next retransmission, in milliseconds.
    """

    request: Request
    waiter: Waiter
    address: str
    incarnation: str
    only_outcome: bool
    is_fallback: bool = False
    hop_id: str = ""
    resend_at_ms: int = 0


class ForwardTable:
    """Pending forwards, indexed by the correlation ID of their latest hop.

    Notes
    -----
    Retransmission is safe: the process that owns a permit or key runs its action
    once, and a duplicate waits for the outcome of the first transmission. Each
    transmission has its own hop ID, so that bytes of two answers are never mixed.
    """

    def __init__(self, *, member_id: str) -> None:
        self._member_id = member_id
        self._n_hops = 0
        self._pending: dict[str, Forward] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def send(self, forward: Forward, now_ms: int) -> SendToPeer:
        """Send or retransmit a forward."""
        self._pending.pop(forward.hop_id, None)
        self._n_hops += 1
        forward.hop_id = f"{self._member_id}~{self._n_hops}"
        forward.resend_at_ms = now_ms + RESEND_INTERVAL_MS
        self._pending[forward.hop_id] = forward
        payload = ForwardRequest(
            hop_id=forward.hop_id,
            request=forward.request,
            remaining_ms=max(0, forward.waiter.deadline_ms - now_ms),
            only_outcome=forward.only_outcome,
        )
        return SendToPeer(
            address=forward.address, incarnation=forward.incarnation, payload=payload
        )

    def pop_answered(self, answer: ForwardedAnswer) -> Forward | None:
        """Remove and return the forward that an answer belongs to."""
        return self._pending.pop(answer.hop_id, None)

    def pop_expired(self, now_ms: int) -> list[Forward]:
        """Remove and return the forwards whose deadline has passed."""
        return self._pop_matching(lambda each: each.waiter.deadline_ms <= now_ms)

    def pop_unreachable(self, is_unreachable: UnreachableCheck) -> list[Forward]:
        """Remove and return the forwards whose target is unreachable."""
        return self._pop_matching(
            lambda each: is_unreachable(each.address, each.incarnation)
        )

    def due(self, now_ms: int) -> list[Forward]:
        """Return the forwards that are due for retransmission."""
        return [each for each in self._pending.values() if each.resend_at_ms <= now_ms]

    def remove_caller(self, request_id: str) -> None:
        """Remove the forwards of a caller that has disconnected from this process."""
        self._pop_matching(
            lambda each: (
                type(each.waiter) is Waiter and each.waiter.request_id == request_id
            )
        )

    def _pop_matching(self, matches: Callable[[Forward], bool]) -> list[Forward]:
        matching = [each for each in self._pending.values() if matches(each)]
        for each in matching:
            del self._pending[each.hop_id]
        return matching

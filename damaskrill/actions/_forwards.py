"""Requests that this process has passed on and whose outcome it awaits."""

from collections.abc import Callable

import attrs

from damaskrill.actions._waiters import Waiter
from damaskrill.messages import ForwardedAnswer, ForwardRequest, Request, SendToPeer

__all__ = ["Forward", "ForwardTable"]

RESEND_INTERVAL_MS = 1_000

UnreachableCheck = Callable[[str, str], bool]


@attrs.define(kw_only=True)
class Forward:
    """One request that was passed on.

    Parameters
    ----------
    request : Request
        The request, with this hop counted.
    waiter : Waiter
        Who is to be told.
    address, incarnation : str
        Router that it was passed to; no incarnation if any process there may take it.
    only_outcome : bool
        Whether nothing may be run.
    is_fallback : bool
        Whether the router is asked in place of one that is gone.
    hop_id : str
        Correlation ID of the latest sending.
    resend_at_ms : int
        When it is sent again, in milliseconds.
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
    """Open forwards by the correlation IDs of their hops.

    Notes
    -----
    Sending again is harmless: the process that a permit or key belongs to runs its
    action once, and a second sending joins the first one's outcome. Each sending has
    its own hop, so that bytes of an answer are never mixed.
    """

    def __init__(self, *, name: str) -> None:
        self._name = name
        self._n_hops = 0
        self._open: dict[str, Forward] = {}

    def __len__(self) -> int:
        return len(self._open)

    def send(self, forward: Forward, now_ms: int) -> SendToPeer:
        """Send a forward, for the first time or again."""
        self._open.pop(forward.hop_id, None)
        self._n_hops += 1
        forward.hop_id = f"{self._name}~{self._n_hops}"
        forward.resend_at_ms = now_ms + RESEND_INTERVAL_MS
        self._open[forward.hop_id] = forward
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
        """Close and return the forward that an answer belongs to."""
        return self._open.pop(answer.hop_id, None)

    def pop_expired(self, now_ms: int) -> list[Forward]:
        """Close and return the forwards whose deadline has passed."""
        return self._pop_matching(lambda each: each.waiter.deadline_ms <= now_ms)

    def pop_unreachable(self, is_unreachable: UnreachableCheck) -> list[Forward]:
        """Close and return the forwards whose target is gone."""
        return self._pop_matching(
            lambda each: is_unreachable(each.address, each.incarnation)
        )

    def due(self, now_ms: int) -> list[Forward]:
        """Return the forwards that are to be sent again."""
        return [each for each in self._open.values() if each.resend_at_ms <= now_ms]

    def remove_caller(self, request_id: str) -> None:
        """Close the forwards of a caller of this process that has gone."""
        self._pop_matching(
            lambda each: (
                type(each.waiter) is Waiter and each.waiter.request_id == request_id
            )
        )

    def _pop_matching(self, matches: Callable[[Forward], bool]) -> list[Forward]:
        taken = [each for each in self._open.values() if matches(each)]
        for each in taken:
            del self._open[each.hop_id]
        return taken

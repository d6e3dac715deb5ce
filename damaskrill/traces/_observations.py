"""Observations of the kernels during a replay."""

from collections import defaultdict

from attrs import define, field, frozen

from damaskrill.configuration import FleetText
from damaskrill.kernel import FleetViewDecider, RouterKernel
from damaskrill.messages import (
    AnswerCaller,
    BackendEnded,
    BackendFailed,
    CancelDispatch,
    DispatchAttempt,
    Message,
    Outcome,
)

__all__ = ["Observations", "ObservedDispatch", "text_of_kernel"]


@frozen(kw_only=True)
class ObservedDispatch:
    """A request that a kernel sent to a backend server.

    Parameters
    ----------
    at_ms : int
        Time of the dispatch, in milliseconds.
    backend_server, data_centre : str
        Target; the data centre is the one in the text of the dispatching kernel.
    """

    at_ms: int
    backend_server: str
    data_centre: str


@define(kw_only=True)
class Observations:
    """Effects of the kernels, against which expected outcomes are evaluated.

    Attributes
    ----------
    outcomes : dict of str to list of Outcome
        All outcomes that callers received, by request.
    dispatches_by_request, dispatches_by_key, dispatches_by_permit : dict
        Dispatches in chronological order.
    max_load : dict of str to int
        Maximum number of concurrent attempts, by backend server.
    """

    outcomes: dict[str, list[Outcome]] = field(factory=lambda: defaultdict(list))
    dispatches: list[ObservedDispatch] = field(factory=list)
    dispatches_by_request: dict[str, list[ObservedDispatch]] = field(
        factory=lambda: defaultdict(list)
    )
    dispatches_by_key: dict[str, list[ObservedDispatch]] = field(
        factory=lambda: defaultdict(list)
    )
    dispatches_by_permit: dict[str, list[ObservedDispatch]] = field(
        factory=lambda: defaultdict(list)
    )
    max_load: dict[str, int] = field(factory=lambda: defaultdict(int))
    _load: dict[str, int] = field(factory=lambda: defaultdict(int))
    _server_of_attempt: dict[str, str] = field(factory=dict)

    def observe_input(self, message: Message) -> None:
        """Observe an input before its kernel handles it."""
        if isinstance(message, BackendEnded | BackendFailed):
            self._end_attempt(message.attempt_id)

    def observe_effect(
        self, effect: Message, *, kernel: RouterKernel, at_ms: int
    ) -> None:
        """Observe an effect of a kernel."""
        match effect:
            case AnswerCaller(request_id=request_id, outcome=outcome):
                self.outcomes[request_id].append(outcome)
            case DispatchAttempt():
                self._record_dispatch(effect, kernel=kernel, at_ms=at_ms)
            case CancelDispatch(attempt_id=attempt_id):
                self._end_attempt(attempt_id)

    def _record_dispatch(
        self, effect: DispatchAttempt, *, kernel: RouterKernel, at_ms: int
    ) -> None:
        name = effect.backend_server
        server = text_of_kernel(kernel).backend_servers.get(name)
        dispatch = ObservedDispatch(
            at_ms=at_ms,
            backend_server=name,
            data_centre=server.data_centre if server is not None else "",
        )
        request = effect.request
        self.dispatches.append(dispatch)
        self.dispatches_by_request[request.request_id].append(dispatch)
        if request.idempotency_key:
            self.dispatches_by_key[request.idempotency_key].append(dispatch)
        if request.permit:
            self.dispatches_by_permit[request.permit].append(dispatch)
        self._server_of_attempt[effect.attempt_id] = name
        self._load[name] += 1
        self.max_load[name] = max(self.max_load[name], self._load[name])

    def _end_attempt(self, attempt_id: str) -> None:
        server = self._server_of_attempt.pop(attempt_id, None)
        if server is not None:
            self._load[server] -= 1


def text_of_kernel(kernel: RouterKernel) -> FleetText:
    """Return the active operators' text of a kernel."""
    for decider in kernel.deciders:
        if isinstance(decider, FleetViewDecider):
            return decider.view.text
    return FleetText()

"""Replay of a trace and comparison with its expected outcomes."""

from collections.abc import Callable
from typing import Protocol

from attrs import field, frozen

from damaskrill.kernel import RouterKernel, build_kernel
from damaskrill.messages import Member
from damaskrill.traces._expectations import (
    Expectation,
    ExpectedAnswerCount,
    ExpectedCause,
    ExpectedDispatchCount,
    ExpectedLoadAtMost,
    ExpectedNoDispatchTo,
    ExpectedOutcome,
    ExpectedSameServer,
    ExpectedTextVersion,
)
from damaskrill.traces._format import TraceHeader, TraceInput
from damaskrill.traces._observations import (
    Observations,
    ObservedDispatch,
    text_of_kernel,
)
from damaskrill.traces._reader import TraceReader

__all__ = ["Difference", "KernelFactory", "ReplayResult", "replay_trace"]

PROGRESS_INTERVAL_INPUTS = 100_000


class KernelFactory(Protocol):
    """Factory of the kernel of a router."""

    def __call__(self, *, own: Member, random_state: int) -> RouterKernel:
        """Return a new kernel."""


@frozen(kw_only=True)
class Difference:
    """An expected outcome that was not met.

    Parameters
    ----------
    line : int
        Line number in the trace.
    at_ms : int
        Time of the line, in milliseconds.
    subject : str
        Checked property, such as ``outcome of`` and the request's ID.
    expected, actual : str
        Readable expected and actual results.
    """

    line: int
    at_ms: int
    subject: str
    expected: str
    actual: str


@frozen(kw_only=True)
class ReplayResult:
    """Result of the replay of a trace.

    Parameters
    ----------
    n_inputs, n_expectations : int
        Numbers of lines of each kind.
    differences : tuple of Difference
        Expected outcomes that were not met.
    """

    n_inputs: int
    n_expectations: int
    differences: tuple[Difference, ...] = field(default=())


def replay_trace(
    reader: TraceReader,
    *,
    kernel_factory: KernelFactory = build_kernel,
    report_progress: Callable[[int], None] | None = None,
) -> ReplayResult:
    """Replay a trace.

    Parameters
    ----------
    reader : TraceReader
        The trace.
    kernel_factory : callable
        Called to build the kernel of each router of the trace.
    report_progress : callable, optional
        Called with the number of inputs after every 100,000 of them.

    Returns
    -------
    ReplayResult
        Numbers of lines, and differences.

    Raises
    ------
    TraceError
        If a line is not valid.

    Notes
    -----
    The trace contains all inputs of all routers, so effects on other routers are only
    observed, not executed.
    """
    kernels = _build_kernels(reader.header, kernel_factory)
    observations = Observations()
    differences: list[Difference] = []
    n_inputs = n_expectations = 0
    for number, entry in reader:
        if isinstance(entry, TraceInput):
            n_inputs += 1
            _replay_input(kernels[entry.router], entry, observations)
            if report_progress and n_inputs % PROGRESS_INTERVAL_INPUTS == 0:
                report_progress(n_inputs)
            continue
        n_expectations += 1
        expected, actual, is_met = _evaluate(entry, observations, kernels)
        if not is_met:
            difference = Difference(
                line=number,
                at_ms=entry.at_ms,
                subject=_describe_subject(entry),
                expected=expected,
                actual=actual,
            )
            differences.append(difference)
    return ReplayResult(
        n_inputs=n_inputs,
        n_expectations=n_expectations,
        differences=tuple(differences),
    )


def _build_kernels(
    header: TraceHeader, kernel_factory: KernelFactory
) -> dict[str, RouterKernel]:
    kernels = {}
    for router in header.routers:
        seed = router.random_state if router.random_state >= 0 else header.seed
        kernels[router.name] = kernel_factory(own=router.member, random_state=seed)
    return kernels


def _replay_input(
    kernel: RouterKernel, entry: TraceInput, observations: Observations
) -> None:
    observations.observe_input(entry.message)
    for effect in kernel.decide(entry.message, entry.at_ms):
        observations.observe_effect(effect, kernel=kernel, at_ms=entry.at_ms)


def _describe_subject(expectation: Expectation) -> str:
    match expectation:
        case ExpectedOutcome(request_id=name) | ExpectedCause(request_id=name):
            return f"{expectation.kind} of {name}"
        case ExpectedAnswerCount(request_id=name):
            return f"answers to {name}"
        case ExpectedDispatchCount():
            name = (
                expectation.request_id
                or expectation.idempotency_key
                or expectation.permit
            )
            return f"dispatches of {name}"
        case ExpectedLoadAtMost(backend_server=name):
            return f"highest load of {name}"
        case ExpectedNoDispatchTo():
            target = expectation.data_centre or expectation.backend_server
            return f"dispatches to {target}"
        case ExpectedSameServer():
            return f"backend server of {len(expectation.request_ids)} requests"
        case ExpectedTextVersion(router=name):
            return f"text version of {name}"
    return expectation.kind


def _evaluate(
    expectation: Expectation,
    observations: Observations,
    kernels: dict[str, RouterKernel],
) -> tuple[str, str, bool]:
    """Return the expected and the actual result, and whether they match."""
    match expectation:
        case ExpectedOutcome():
            return _evaluate_outcome(expectation, observations)
        case ExpectedCause(request_id=request_id, code=code):
            codes = [
                cause.code.value
                for outcome in observations.outcomes.get(request_id, ())
                for cause in outcome.causes
            ]
            return code, ", ".join(codes) or "none", code in codes
        case ExpectedAnswerCount(request_id=request_id, exactly=exactly):
            n_answers = len(observations.outcomes.get(request_id, ()))
            return str(exactly), str(n_answers), n_answers == exactly
        case ExpectedDispatchCount(at_least=at_least, at_most=at_most):
            n_dispatches = len(_select_dispatches(expectation, observations))
            expected = f"{at_least} to {at_most}" if at_least else f"at most {at_most}"
            is_met = at_least <= n_dispatches <= at_most
            return expected, str(n_dispatches), is_met
        case ExpectedLoadAtMost(backend_server=name, value=value):
            load = observations.max_load.get(name, 0)
            return f"at most {value}", str(load), load <= value
        case ExpectedNoDispatchTo():
            return _evaluate_no_dispatch(expectation, observations)
        case ExpectedSameServer(request_ids=request_ids):
            return _evaluate_same_server(request_ids, observations)
        case ExpectedTextVersion(router=router, version=version):
            actual = text_of_kernel(kernels[router]).version
            return f"at least {version}", str(actual), actual >= version
    raise NotImplementedError(expectation.kind)


def _evaluate_outcome(
    expectation: ExpectedOutcome, observations: Observations
) -> tuple[str, str, bool]:
    accepted = (expectation.outcome, *expectation.alternatives)
    names = [
        each.name for each in observations.outcomes.get(expectation.request_id, ())
    ]
    is_met = bool(names) and names[-1] in accepted
    return " or ".join(accepted), ", ".join(names) or "no answer", is_met


def _select_dispatches(
    expectation: ExpectedDispatchCount, observations: Observations
) -> list[ObservedDispatch]:
    if expectation.idempotency_key:
        return observations.dispatches_by_key.get(expectation.idempotency_key, [])
    if expectation.permit:
        return observations.dispatches_by_permit.get(expectation.permit, [])
    return observations.dispatches_by_request.get(expectation.request_id, [])


def _evaluate_no_dispatch(
    expectation: ExpectedNoDispatchTo, observations: Observations
) -> tuple[str, str, bool]:
    violations = [
        each
        for each in observations.dispatches
        if each.at_ms > expectation.after_ms
        and not 0 < expectation.until_ms < each.at_ms
        and (
            each.data_centre == expectation.data_centre
            if expectation.data_centre
            else each.backend_server == expectation.backend_server
        )
    ]
    expected = f"none after {expectation.after_ms} ms"
    if not violations:
        return expected, "none", True
    return expected, f"{len(violations)}, the last at {violations[-1].at_ms} ms", False


def _evaluate_same_server(
    request_ids: tuple[str, ...], observations: Observations
) -> tuple[str, str, bool]:
    names = []
    for request_id in request_ids:
        dispatches = observations.dispatches_by_request.get(request_id)
        names.append(dispatches[0].backend_server if dispatches else "none")
    is_met = len(set(names)) == 1 and "none" not in names
    return "the same for all", ", ".join(names), is_met

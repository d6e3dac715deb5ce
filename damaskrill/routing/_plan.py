"""Candidate backend servers of a request and the order of its offers."""

from collections.abc import Callable, Sequence

from damaskrill.configuration import LimitSpec
from damaskrill.messages import AttemptRefused, FleetView, Request
from damaskrill.routing._open_request import Candidate, OpenRequest

__all__ = ["plan_after_failure", "plan_hint", "plan_initial", "plan_queued"]

N_SPILL_CANDIDATES = 5
MAX_CACHE_WAIT_MS = 2_000
US_PER_MS = 1_000


def plan_initial(
    request: Request,
    ranked: Sequence[str],
    is_circuit_open: Callable[[str], bool],
    *,
    has_affinity: bool,
    limits: LimitSpec,
) -> list[Candidate]:
    """Return the candidates of a new request.

    Parameters
    ----------
    request : Request
        The request.
    ranked : sequence of str
        Backend servers in the order of the placement policy.
    is_circuit_open : callable
        Whether a server's circuit is known to be open.
    has_affinity : bool
        Whether the request may wait for its first choice for a short time.
    limits : LimitSpec
        Limits of the active text.

    Returns
    -------
    list of Candidate
        With affinity, the first candidate may queue the request for a short time; all
        others must accept or refuse it immediately.
    """
    active = [name for name in ranked if not is_circuit_open(name)] or list(ranked)
    if not active:
        return []
    if not has_affinity:
        return [
            Candidate(backend_server=name) for name in active[: 1 + N_SPILL_CANDIDATES]
        ]
    first = Candidate(
        backend_server=active[0],
        max_wait_ms=_cache_wait_ms(request, limits),
        follows_spill=True,
    )
    return [
        first,
        *(
            Candidate(backend_server=name)
            for name in active[1 : 1 + N_SPILL_CANDIDATES]
        ),
    ]


def plan_hint(state: OpenRequest, refusal: AttemptRefused, view: FleetView) -> None:
    """Put the server hinted at by a refusal before the other candidates.

    Parameters
    ----------
    state : OpenRequest
        The refused request.
    refusal : AttemptRefused
        The refusal.
    view : FleetView
        Active view.
    """
    attempt = state.attempt
    if attempt is None:
        return
    same_server = Candidate(
        backend_server=attempt.backend_server,
        max_wait_ms=_cache_wait_ms(state.request, view.text.limits),
    )
    servers = view.servers_by_service.get(state.request.service, ())
    if any(each.name == refusal.hint_server for each in servers):
        hinted = Candidate(backend_server=refusal.hint_server)
        others = [
            each for each in state.plan if each.backend_server != refusal.hint_server
        ]
        state.plan = [hinted, same_server, *others]
    else:
        state.plan.insert(0, same_server)


def plan_queued(state: OpenRequest) -> list[Candidate]:
    """Return the candidate whose owner may queue a request that all have refused."""
    if state.was_queued or not state.refused:
        return []
    state.was_queued = True
    name = min(state.refused, key=lambda each: state.refused[each])
    return [Candidate(backend_server=name, max_wait_ms=-1)]


def plan_after_failure(
    state: OpenRequest,
    ranked: Sequence[str],
    is_circuit_open: Callable[[str], bool],
) -> list[Candidate]:
    """Return the candidates for a retry, avoiding failed servers if others are left.

    Parameters
    ----------
    state : OpenRequest
        The request.
    ranked : sequence of str
        Backend servers in the order of the placement policy.
    is_circuit_open : callable
        Whether a server's circuit is known to be open.
    """
    not_failed = [name for name in ranked if name not in state.failed]
    active = [name for name in not_failed if not is_circuit_open(name)]
    names = active or not_failed or list(ranked)
    return [Candidate(backend_server=name) for name in names[: 1 + N_SPILL_CANDIDATES]]


def _cache_wait_ms(request: Request, limits: LimitSpec) -> int:
    # Waiting avoids processing the cached part of the prompt on another server.
    wait_us = request.n_prompt_tokens * limits.cache_wait_us_per_token
    return min(MAX_CACHE_WAIT_MS, wait_us // US_PER_MS)

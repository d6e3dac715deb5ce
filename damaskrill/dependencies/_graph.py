"""Search of the declared dependency graph for the root of an outage."""

from collections.abc import Callable

from damaskrill.messages import Cause, CauseCode, FleetView

__all__ = ["find_outage"]


def find_outage(
    service: str,
    view: FleetView,
    causes_of_outage: Callable[[str], tuple[Cause, ...]],
) -> tuple[Cause, ...]:
    """Return the cause chain of a service with an unavailable dependency.

    Parameters
    ----------
    service : str
        Requested service.
    view : FleetView
        Active view.
    causes_of_outage : callable
        Returns why a service itself is unavailable; empty if it is available.

    Returns
    -------
    tuple of Cause
        One ``DEPENDENCY_OUT`` for each edge of the path, then the causes of the
        outage at its end; empty if all dependencies are available.

    Notes
    -----
    The search is depth first, in the declared order of the dependencies. Each service
    is visited once, so that it ends even if the declarations contain a cycle.
    """
    return _search(service, view, causes_of_outage, {service})


def _search(
    service: str,
    view: FleetView,
    causes_of_outage: Callable[[str], tuple[Cause, ...]],
    visited: set[str],
) -> tuple[Cause, ...]:
    spec = view.text.services.get(service)
    if spec is None:
        return ()
    for dependency in spec.depends_on:
        if dependency in visited:
            continue
        visited.add(dependency)
        causes = causes_of_outage(dependency)
        causes = causes or _search(dependency, view, causes_of_outage, visited)
        if causes:
            link = Cause(code=CauseCode.DEPENDENCY_OUT, subject=dependency)
            return (link, *causes)
    return ()

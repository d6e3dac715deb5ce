"""Finds the service at the root of an outage in the declared graph."""

from collections.abc import Callable

from damaskrill.messages import Cause, CauseCode, FleetView

__all__ = ["find_outage"]


def find_outage(
    service: str,
    view: FleetView,
    causes_of_outage: Callable[[str], tuple[Cause, ...]],
) -> tuple[Cause, ...]:
    """Return the cause chain of a service whose dependency is out.

    Parameters
    ----------
    service : str
        Service that is asked for.
    view : FleetView
        View in force.
    causes_of_outage : callable
        Why a service by itself is out; empty if it is not.

    Returns
    -------
    tuple of Cause
        One ``DEPENDENCY_OUT`` for each edge on the way and the causes of the
        outage at its end; empty if everything that is needed is there.

    Notes
    -----
    Dependencies are followed depth first in their declared order. A cycle in the
    declarations is followed once.
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

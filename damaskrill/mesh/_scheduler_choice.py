"""Choice of the router that schedules the requests for a service."""

from collections.abc import Iterable

from damaskrill.mesh._members import MemberTable
from damaskrill.utils import rank_by_rendezvous

__all__ = ["SchedulerChoice"]

# Services with few slots in a deployment.
MAX_RANKED = 64


class SchedulerChoice:
    """First router by rendezvous hash, by service, of those that may be asked.

    Parameters
    ----------
    members : MemberTable
        Live routers.

    Notes
    -----
    Routers with the same view choose the same one. While views differ, two may schedule
    the same service; both count what servers state, so that the bounds hold.
    """

    def __init__(self, members: MemberTable) -> None:
        self._members = members
        self._addresses: frozenset[str] = frozenset()
        # Ranks take time in proportion to the fleet, so they are kept until it changes.
        self._ranked: dict[str, list[str]] = {}

    def find(self, service: str, unanswering: Iterable[str] = ()) -> str | None:
        """Return the address of the router to ask; None if there is none.

        Parameters
        ----------
        service : str
            The service.
        unanswering : iterable of str, default=()
            Routers that are not to be asked now.
        """
        addresses = self._members.schedulers()
        if addresses is not self._addresses or len(self._ranked) > MAX_RANKED:
            self._addresses = addresses
            self._ranked.clear()
        ranked = self._ranked.get(service)
        if ranked is None:
            ranked = rank_by_rendezvous(f"slots {service}", addresses)
            self._ranked[service] = ranked
        excluded = frozenset(unanswering)
        return next((each for each in ranked if each not in excluded), None)

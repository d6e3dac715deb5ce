"""Urgency that is stated to engines, from the priorities of teams and routes."""

from collections.abc import Iterable

from attrs import field, frozen

from damaskrill.catalog import Configuration, Route, Team
from damaskrill.utils import hash_to_int

__all__ = ["EngineUrgency", "PriorityRanks", "effective_priority", "map_urgency"]

# Urgencies that an engine distinguishes: 0 (first) to 9.
N_URGENCIES = 10
# Priorities of a service from which on the operators have said what goes first.
MIN_RANKS = 2
# One in so many new requests of a lower rank is as urgent as those of the first rank.
# Engines that the first rank alone would keep full serve the others at this rate.
FLOOR_INTERVAL = 8


def effective_priority(route: Route, team: Team | None) -> int:
    """Return a request's priority: that of its team, else of its route; 0 is first."""
    if team is not None and team.priority is not None:
        return team.priority
    return route.priority


def map_urgency(rank: int, n_ranks: int, *, was_sent: bool = False) -> int:
    """Return the urgency that is stated to an engine.

    Parameters
    ----------
    rank : int
        Rank of the request among those that the configuration distinguishes; 0 is the
        first. Others are clipped.
    n_ranks : int
        Number of these ranks.
    was_sent : bool, default=False
        Whether the request or its stream has been at a server before.

    Returns
    -------
    int
        0 (first) to 9.

    Notes
    -----
    Handles engines that admit the more urgent first and preempt the newest of the least
    urgent, so that a stream that goes on elsewhere would lose to all that arrived at
    that engine before. It is one step more urgent than new ones of its rank. With up to
    five ranks the step lies between two ranks, with up to nine on the rank before, and
    beyond neighbouring ranks share an urgency. The order of ranks is never reversed.
    """
    n_ranks = max(1, n_ranks)
    rank = min(max(0, rank), n_ranks - 1)
    if n_ranks <= N_URGENCIES // 2:
        urgency = 2 * rank + 1
    elif n_ranks < N_URGENCIES:
        urgency = rank + 1
    else:
        urgency = 1 + rank * (N_URGENCIES - 1) // n_ranks
    return urgency - was_sent


def _to_ranks(priorities: Iterable[int]) -> dict[int, int]:
    return {each: rank for rank, each in enumerate(sorted(set(priorities)))}


@frozen
class PriorityRanks:
    """Ranks of the priorities that requests can have, the most urgent first.

    Parameters
    ----------
    priorities : iterable of int
        The priorities, in any order.
    """

    _ranks: dict[int, int] = field(converter=_to_ranks)

    @classmethod
    def from_configuration(
        cls, configuration: Configuration, service: str
    ) -> "PriorityRanks":
        """Return the ranks of the requests that a service gets."""
        priorities: set[int] = {
            route.priority
            for route in configuration.routes
            if any(share.service == service for share in route.shares)
        }
        teams = (configuration.team_by_key or {}).values()
        priorities.update(team.priority for team in teams if team.priority is not None)
        return cls(priorities)

    def __len__(self) -> int:
        """Return the number of ranks."""
        return len(self._ranks)

    def rank_of(self, priority: int) -> int:
        """Return the rank of a priority; an unknown one has that of the next known."""
        rank = self._ranks.get(priority)
        if rank is None:
            rank = sum(each < priority for each in self._ranks)
        return min(rank, max(0, len(self._ranks) - 1))


class EngineUrgency:
    """States requests' urgency to the engines of services that distinguish it.

    Parameters
    ----------
    salt : str
        Unknown to callers, who choose the IDs of their requests.

    Notes
    -----
    Handles engines at which short prompts of the most urgent callers wait behind long
    ones of the least urgent. A service is told nothing if it has one priority and its
    servers do not state how long work takes.
    """

    def __init__(self, *, salt: str) -> None:
        self._salt = salt
        self._services: set[str] = set()
        self._ranks: dict[str, PriorityRanks] = {}
        self._configuration: Configuration | None = None

    def record_stated(self, service: str) -> bool:
        """Record that a server stated how long work takes; return whether it is new."""
        is_new = service not in self._services
        self._services.add(service)
        return is_new

    def is_known(self, service: str) -> bool:
        """Return whether the servers of a service state how long work takes."""
        return service in self._services

    def retain_only(self, services: Iterable[str]) -> None:
        """Discard all other services."""
        self._services.intersection_update(services)

    def find(
        self,
        configuration: Configuration,
        service: str,
        *,
        route: Route,
        team: Team | None,
        request_id: str,
        was_sent: bool,
    ) -> int | None:
        """Return the urgency to state for a request; None to state none.

        Parameters
        ----------
        configuration : Configuration
            Configuration in force.
        service : str
            Service that runs the request.
        route : Route
            Its route.
        team : Team or None
            Team of its caller.
        request_id : str
            ID of the caller's attempt, by which those of the floor are drawn.
        was_sent : bool
            Whether the request or its stream has been at a server before.
        """
        spec = configuration.services.get(service)
        if spec is None or not spec.is_engine:
            return None
        if configuration is not self._configuration:
            self._configuration = configuration
            self._ranks.clear()
        ranks = self._ranks.get(service)
        if ranks is None:
            ranks = PriorityRanks.from_configuration(configuration, service)
            self._ranks[service] = ranks
        if len(ranks) < MIN_RANKS and service not in self._services:
            return None
        rank = ranks.rank_of(effective_priority(route, team))
        if is_in_floor(request_id, self._salt):
            rank = 0
        return map_urgency(rank, len(ranks), was_sent=was_sent)


def is_in_floor(request_id: str, salt: str) -> bool:
    """Return whether a request is one of those served like the first rank."""
    return hash_to_int(f"{salt} {request_id}") % FLOOR_INTERVAL == 0

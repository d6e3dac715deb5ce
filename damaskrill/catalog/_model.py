"""Routes, services, teams and backend servers."""

from collections.abc import Mapping
from enum import Enum

from attrs import field, frozen

__all__ = [
    "BackendServer",
    "CallerLimits",
    "Configuration",
    "RequestKind",
    "Route",
    "ServiceShare",
    "ServiceSpec",
    "Team",
]


class RequestKind(Enum):
    """What may be repeated."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@frozen(kw_only=True)
class ServiceShare:
    """Part of a route's requests that a service takes.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Its weight among the shares of the route.
    """

    service: str
    weight: float = 1.0


@frozen(kw_only=True)
class Route:
    """Where requests of a host and path prefix go, and within which limits.

    Parameters
    ----------
    name : str
        Name in logs.
    host, prefix : str
        What selects the route; the longest prefix of a host wins.
    kind : RequestKind
        What may be repeated.
    time_limit_ms : int
        Longest time to an answer, in milliseconds.
    target_ms : int
        Time within which an answer is worth most, in milliseconds.
    max_pause_ms : int
        Longest pause between the events of a stream that is in time, in milliseconds;
        0 if any is.
    priority : int
        Rank; 0 is the highest.
    shares : tuple of ServiceShare
        Services that take the requests.
    max_servers : int
        Backend servers that one request may be sent to.
    is_public : bool
        Whether requests need no key.
    has_prompt : bool
        Whether requests name the parts of a prompt that servers may have cached.
    is_resumable : bool
        Whether a stream may go on at another backend server.
    regions : frozenset of str
        Regions whose servers may run requests; empty if all may.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    time_limit_ms: int
    target_ms: int
    priority: int
    shares: tuple[ServiceShare, ...]
    max_servers: int
    max_pause_ms: int = 0
    is_public: bool = False
    has_prompt: bool = False
    is_resumable: bool = False
    regions: frozenset[str] = frozenset()

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run again when its first run is in doubt."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.REPEATABLE


@frozen(kw_only=True)
class ServiceSpec:
    """A service that backend servers offer.

    Parameters
    ----------
    name : str
        Name of the service.
    max_connections : int
        Connections that one backend server takes from all routers; 0 if unlimited.
    cold_duration_ms : int
        How long a backend server is cold after its start, in milliseconds.
    cold_requests_per_s : float
        Requests a second that a cold backend server bears; 0 if unlimited.
    is_engine : bool
        Whether its backend servers run models with a prompt cache.
    """

    name: str
    max_connections: int = 0
    cold_duration_ms: int = 0
    cold_requests_per_s: float = 0.0
    is_engine: bool = False


@frozen(kw_only=True)
class Team:
    """A group of callers with keys of its own.

    Parameters
    ----------
    name : str
        Its name.
    priority : int or None
        Rank that goes before the route's; 0 is the highest.
    regions : frozenset of str
        Regions whose servers may run its requests; empty if all may.
    """

    name: str
    priority: int | None = None
    regions: frozenset[str] = frozenset()


@frozen(kw_only=True)
class CallerLimits:
    """What callers may send, and how long they may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@frozen(kw_only=True)
class Configuration:
    """One version of what operators published.

    Parameters
    ----------
    version : int
        The operators' number.
    routes : tuple of Route
        All routes.
    services : mapping of str to ServiceSpec
        Services by name.
    team_by_key : mapping of str to Team
        Teams by key; empty if requests need no key.
    limits : CallerLimits
        Limits towards callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    team_by_key: Mapping[str, Team]
    limits: CallerLimits
    _by_host: dict[str, list[Route]] = field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda each: -len(each.prefix)):
            by_host.setdefault(route.host, []).append(route)
        object.__setattr__(self, "_by_host", by_host)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@frozen(kw_only=True)
class BackendServer:
    """One incarnation of a backend server.

    Parameters
    ----------
    server_id : str
        Name under which it registered.
    started_at_ms : int
        Start of the process in Unix milliseconds; 0 if it does not say.
    service : str
        What it offers.
    address : tuple of (str, int)
        Host and port.
    data_centre : str
        Where it runs.
    n_slots : int
        Requests that it runs at once.
    is_leaving : bool
        Whether it drains and must get nothing new.
    cold_for_ms : int
        How much longer it was cold when it said so, in milliseconds.
    """

    server_id: str
    started_at_ms: int = 0
    service: str
    address: tuple[str, int]
    data_centre: str = ""
    n_slots: int = 1
    is_leaving: bool = False
    cold_for_ms: int = 0

    @property
    def key(self) -> tuple[str, int]:
        """Identity of the incarnation."""
        return (self.server_id, self.started_at_ms)

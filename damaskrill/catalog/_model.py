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
    """Whether and how a request may be retried."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@frozen(kw_only=True)
class ServiceShare:
    """Share of a route's requests that go to a service.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Weight among the shares of the route.
    """

    service: str
    weight: float = 1.0


@frozen(kw_only=True)
class Route:
    """Services and limits for requests with a host and a path prefix.

    Parameters
    ----------
    name : str
        Name of the route in logs.
    host, prefix : str
        Host and path prefix that select the route; the longest prefix of a host wins.
    kind : RequestKind
        Whether and how requests may be retried.
    time_limit_ms : int
        Timeout of an answer, in milliseconds.
    target_ms : int
        Target latency, within which an answer has its full value, in milliseconds.
    max_pause_ms : int
        Target for the longest pause between events of a stream, in milliseconds; 0 if
        there is no target.
    priority : int
        Priority; 0 is the highest.
    shares : tuple of ServiceShare
        Services that requests are distributed over.
    max_servers : int
        Maximum number of backend servers that one request may be sent to.
    is_public : bool
        Whether requests need no API key.
    has_prompt : bool
        Whether requests list the parts of their prompt, which servers may have cached.
    is_resumable : bool
        Whether a stream may be resumed at another backend server.
    regions : frozenset of str or None
        Regions whose servers may run requests; None for all regions.
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
    regions: frozenset[str] | None = None

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be retried if its first run is in doubt."""
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
        Connections that one backend server accepts from all routers; 0 if unlimited.
    cold_duration_ms : int
        Duration of a cold start of a backend server, in milliseconds.
    cold_requests_per_s : float
        Capacity of a cold backend server in requests per second; 0 if unlimited.
    is_engine : bool
        Whether its backend servers run models with a prompt cache.
    n_memory_tokens : int
        Tokens that the memory of an engine holds; 0 if it is not known.
    health_path : str
        Path at which a backend server answers without running a request.
    """

    name: str
    max_connections: int = 0
    cold_duration_ms: int = 0
    cold_requests_per_s: float = 0.0
    is_engine: bool = False
    n_memory_tokens: int = 0
    health_path: str = "/"


@frozen(kw_only=True)
class Team:
    """A group of callers with its own API keys.

    Parameters
    ----------
    name : str
        Name of the team.
    priority : int or None
        Priority that overrides that of the route; 0 is the highest.
    regions : frozenset of str or None
        Regions whose servers may run its requests; None for all regions.
    """

    name: str
    priority: int | None = None
    regions: frozenset[str] | None = None


@frozen(kw_only=True)
class CallerLimits:
    """Size limits and timeouts of callers' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@frozen(kw_only=True)
class Configuration:
    """One version of the operators' configuration.

    Parameters
    ----------
    version : int
        Version number that the operators assigned.
    routes : tuple of Route
        All routes.
    services : mapping of str to ServiceSpec
        Services by name.
    team_by_key : mapping of str to Team or None
        Teams by API key; None if requests need no key. If there are teams, but no keys,
        no request is allowed but those on public routes.
    limits : CallerLimits
        Limits for callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    team_by_key: Mapping[str, Team] | None
    limits: CallerLimits
    _by_prefix: dict[tuple[str, str], Route] = field(init=False, repr=False, eq=False)
    _longest_stream_ms: int = field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self) -> None:
        # If two routes have the same prefix, the first one is used.
        by_prefix = {
            (route.host, route.prefix): route for route in reversed(self.routes)
        }
        object.__setattr__(self, "_by_prefix", by_prefix)
        streams = (
            route.time_limit_ms
            for route in self.routes
            if route.kind is RequestKind.STREAM
        )
        object.__setattr__(self, "_longest_stream_ms", max(streams, default=0))

    @property
    def longest_stream_ms(self) -> int:
        """Longest time limit of a route with streams, in milliseconds; 0 if none."""
        return self._longest_stream_ms

    @property
    def needs_key(self) -> bool:
        """Whether requests on routes that are not public need a team's key."""
        return self.team_by_key is not None

    def find_team(self, key: str | None) -> Team | None:
        """Return the team that holds a key; None if there is none."""
        return (self.team_by_key or {}).get(key) if key else None

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        Notes
        -----
        Prefixes end with a slash, so the time depends on the number of slashes in the
        path and not on the number of routes.
        """
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None


@frozen(kw_only=True)
class BackendServer:
    """One incarnation of a backend server.

    Parameters
    ----------
    server_id : str
        ID under which the server registered.
    started_at_ms : int
        Start time of the process in Unix milliseconds; 0 if not reported.
    service : str
        Service that it offers.
    address : tuple of (str, int)
        Host and port.
    data_centre : str
        Data centre that it runs in.
    n_slots : int
        Number of requests that it runs concurrently.
    is_leaving : bool
        Whether it is draining and must get no new requests.
    cold_for_ms : int
        Remaining duration of its cold start when it reported it, in milliseconds.
    version : str
        Version of its software; empty if its entry names none.
    """

    server_id: str
    started_at_ms: int = 0
    service: str
    address: tuple[str, int]
    data_centre: str = ""
    n_slots: int = 1
    is_leaving: bool = False
    cold_for_ms: int = 0
    version: str = ""

    # Identity of the incarnation; looked up for each server in each selection.
    key: tuple[str, int] = field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        object.__setattr__(self, "key", (self.server_id, self.started_at_ms))

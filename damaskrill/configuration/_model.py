"""Data classes of the operators' text."""

from collections.abc import Mapping
from enum import Enum

from attrs import field, frozen

__all__ = [
    "BackendServerSearch",
    "BackendServerSpec",
    "DataCentreSpec",
    "FencingCheck",
    "FleetText",
    "LimitSpec",
    "ServiceKind",
    "ServiceSpec",
    "TeamSpec",
]


class ServiceKind(Enum):
    """Kind of the backend servers of a service."""

    ENGINE = "engine"
    PLAIN = "plain"


class FencingCheck(Enum):
    """Whether backend servers reject orders with an outdated fencing number."""

    FENCED = "fenced"
    IGNORED = "ignored"


@frozen(kw_only=True)
class ServiceSpec:
    """A service.

    Parameters
    ----------
    name : str
        Name that callers use; for engines also the model's name.
    kind : ServiceKind
        Whether its backend servers are model engines or plain services.
    depends_on : tuple of str
        Services on which this one depends.
    repeatable : bool
        Whether a request may be sent to a backend server more than once.
    fencing_check : FencingCheck
        Whether its backend servers check fencing numbers.
    first_token_objective_ms, between_tokens_objective_ms : int
        Service-level objectives for the time to the first token and between tokens,
        in milliseconds.
    objective_permille : int
        Fraction of requests that must meet the objectives, in thousandths.
    model, adapter, model_version : str
        Model that its engines are ordered to load; empty for no order.
    """

    name: str
    kind: ServiceKind = ServiceKind.ENGINE
    depends_on: tuple[str, ...] = ()
    repeatable: bool = True
    fencing_check: FencingCheck = FencingCheck.IGNORED
    first_token_objective_ms: int = 630
    between_tokens_objective_ms: int = 31
    objective_permille: int = 950
    model: str = ""
    adapter: str = ""
    model_version: str = ""


@frozen(kw_only=True)
class BackendServerSpec:
    """A backend server.

    Parameters
    ----------
    name : str
        Unique name within the text.
    service : str
        Service that it serves.
    address : str
        ``IP:port`` of its HTTP interface.
    data_centre : str
        Data centre in which it runs.
    bearable_load : int
        Capacity when warm, in concurrent requests; an absolute bound.
    cold_load : int
        Capacity directly after a cold start, in concurrent requests.
    leaving : bool
        Whether operators have marked it as draining.
    """

    name: str
    service: str
    address: str
    data_centre: str
    bearable_load: int = 16
    cold_load: int = 2
    leaving: bool = False


@frozen(kw_only=True)
class BackendServerSearch:
    """Discovery of the backend servers of a service, and their common properties.

    Parameters
    ----------
    service : str
        Service whose backend servers are discovered.
    find : str
        Source: ``host_list`` uses the hosts that the platform lists for the service.
    bearable_load, cold_load : int
        As for ``BackendServerSpec``.
    """

    service: str
    find: str
    bearable_load: int = 16
    cold_load: int = 2


@frozen(kw_only=True)
class DataCentreSpec:
    """A data centre.

    Parameters
    ----------
    name : str
        Name, as in the settings of the processes.
    region : str
        Region of the data centre.
    in_service : bool
        Whether its backend servers may receive new requests.
    """

    name: str
    region: str = ""
    in_service: bool = True


@frozen(kw_only=True)
class TeamSpec:
    """Share and priority of a team.

    Parameters
    ----------
    name : str
        Team name.
    share : int
        Weight relative to the other teams.
    priority : int
        0 is the most urgent, 9 the least.
    """

    name: str
    share: int = 1
    priority: int = 5


@frozen(kw_only=True)
class LimitSpec:
    """Fleet-wide limits.

    Parameters
    ----------
    load_multiple_percent : int
        Maximum load of a backend server, in percent of the mean load of its service.
    load_floor : int
        Load that is always allowed, however small the mean load is.
    max_queue_length : int
        Maximum number of requests that wait for one backend server.
    max_queue_wait_ms : int
        Maximum wait in that queue, in milliseconds.
    default_deadline_ms : int
        Deadline of a request whose caller sets none, in milliseconds.
    retry_budget_percent : int
        Retries in percent of first attempts.
    cache_wait_us_per_token : int
        Maximum wait for the backend server that has the prefix of a request cached,
        in microseconds per token of the prompt.
    team_share : int
        Weight of a team that the text does not list.
    team_priority : int
        Priority of a team that the text does not list.
    ramp_step_requests : int
        Requests that a backend server must finish after a cold start to raise its
        limit by one concurrent request.
    max_loading_servers : int
        Maximum number of backend servers that load from the weight store concurrently.
    """

    load_multiple_percent: int = 125
    load_floor: int = 2
    max_queue_length: int = 64
    max_queue_wait_ms: int = 5_000
    default_deadline_ms: int = 60_000
    retry_budget_percent: int = 10
    cache_wait_us_per_token: int = 200
    team_share: int = 1
    team_priority: int = 5
    ramp_step_requests: int = 4
    max_loading_servers: int = 4


@frozen(kw_only=True)
class FleetText:
    """A valid operators' text.

    Parameters
    ----------
    version : int
        Version number of the text on the platform; 0 if there is no text.
    services, backend_servers, data_centres : dict
        Specifications by name.
    teams : mapping of str to TeamSpec
        Teams whose share or priority differs from the defaults.
    limits : LimitSpec
        Fleet-wide limits.
    backend_server_searches : dict of str to BackendServerSearch
        Discovery of further backend servers, by service.
    """

    version: int = 0
    services: dict[str, ServiceSpec] = field(factory=dict)
    backend_servers: dict[str, BackendServerSpec] = field(factory=dict)
    data_centres: dict[str, DataCentreSpec] = field(factory=dict)
    teams: Mapping[str, TeamSpec] = field(factory=dict)
    limits: LimitSpec = field(factory=LimitSpec)
    backend_server_searches: dict[str, BackendServerSearch] = field(factory=dict)

    def team(self, name: str) -> TeamSpec:
        """Return the entry of a team, or one with the defaults of ``limits``."""
        spec = self.teams.get(name)
        if spec is not None:
            return spec
        limits = self.limits
        return TeamSpec(
            name=name, share=limits.team_share, priority=limits.team_priority
        )

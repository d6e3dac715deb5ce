"""Data classes of a parsed operators' text."""

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
    """What kind of backend servers a service has."""

    ENGINE = "engine"
    PLAIN = "plain"


class FencingCheck(Enum):
    """Whether backend servers refuse orders with an old fencing number."""

    FENCED = "fenced"
    IGNORED = "ignored"


@frozen(kw_only=True)
class ServiceSpec:
    """One service.

    Parameters
    ----------
    name : str
        Name that callers use; for engines also the model's name.
    kind : ServiceKind
        Model engine or plain service.
    depends_on : tuple of str
        Services that this one needs.
    repeatable : bool
        Whether a request may be sent to a backend server more than once.
    fencing_check : FencingCheck
        Whether its backend servers check fencing numbers.
    first_token_objective_ms, between_tokens_objective_ms : int
        Service-level objectives in milliseconds.
    objective_permille : int
        Share of requests that must meet the objectives, in thousandths.
    model, adapter, model_version : str
        What its engines must have loaded; empty where nothing is ordered.
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
    """One backend server.

    Parameters
    ----------
    name : str
        Unique name within the text.
    service : str
        Service that it serves.
    address : str
        ``IP:port`` of its HTTP interface.
    data_centre : str
        Where it stands.
    bearable_load : int
        Requests at once that it bears when warm; an absolute bound.
    cold_load : int
        Requests at once that it bears just after a start.
    leaving : bool
        Whether operators have marked it as leaving.
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
    """How the backend servers of a service are found, and what they have in common.

    Parameters
    ----------
    service : str
        Service whose backend servers are found.
    find : str
        Where: ``host_list`` takes the hosts that the platform lists for the service.
    bearable_load, cold_load : int
        As for ``BackendServerSpec``.
    """

    service: str
    find: str
    bearable_load: int = 16
    cold_load: int = 2


@frozen(kw_only=True)
class DataCentreSpec:
    """One data centre.

    Parameters
    ----------
    name : str
        Name as in the processes' settings.
    region : str
        Region that it belongs to.
    in_service : bool
        Whether it may receive new work.
    """

    name: str
    region: str = ""
    in_service: bool = True


@frozen(kw_only=True)
class TeamSpec:
    """Exception from the defaults for one team.

    Parameters
    ----------
    name : str
        Team name.
    share : int
        Weight among the teams.
    priority : int
        0 is the most urgent, 9 the least.
    """

    name: str
    share: int = 1
    priority: int = 5


@frozen(kw_only=True)
class LimitSpec:
    """Bounds for the whole fleet.

    Parameters
    ----------
    load_multiple_percent : int
        Highest load of a backend server, in hundredths of the mean load.
    load_floor : int
        Load that is allowed however small the mean is.
    max_queue_length : int
        Requests that may wait for one backend server.
    max_queue_wait_ms : int
        Longest wait in that queue, in milliseconds.
    default_deadline_ms : int
        Time a request has when the caller states none, in milliseconds.
    retry_budget_percent : int
        Retries in hundredths of first tries.
    cache_wait_us_per_token : int
        How long a request may wait for the backend server that has its prefix cached,
        in microseconds for each token of the prompt.
    team_share : int
        Weight of a team without a section of its own.
    team_priority : int
        Priority of a team without a section of its own.
    ramp_step_requests : int
        Requests that a backend server must finish after a start before it may bear
        one more at once.
    max_loading_servers : int
        Backend servers that may load from the weight store at once.
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
        The platform's version number; 0 means that there is no text.
    services, backend_servers, data_centres : dict
        Sections by name.
    teams : mapping of str to TeamSpec
        Teams that differ from the defaults.
    limits : LimitSpec
        Bounds for the whole fleet.
    backend_server_searches : dict of str to BackendServerSearch
        How further backend servers are found, by service.
    """

    version: int = 0
    services: dict[str, ServiceSpec] = field(factory=dict)
    backend_servers: dict[str, BackendServerSpec] = field(factory=dict)
    data_centres: dict[str, DataCentreSpec] = field(factory=dict)
    teams: Mapping[str, TeamSpec] = field(factory=dict)
    limits: LimitSpec = field(factory=LimitSpec)
    backend_server_searches: dict[str, BackendServerSearch] = field(factory=dict)

    def team(self, name: str) -> TeamSpec:
        """Return a team's section, or the defaults under its name."""
        spec = self.teams.get(name)
        if spec is not None:
            return spec
        limits = self.limits
        return TeamSpec(
            name=name, share=limits.team_share, priority=limits.team_priority
        )

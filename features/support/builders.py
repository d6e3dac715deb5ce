"""Builders of test data with harmless defaults."""

from damaskrill.catalog import BackendServer, RequestKind, Route, ServiceShare
from damaskrill.configuration import (
    BackendServerSpec,
    DataCentreSpec,
    FleetText,
    LimitSpec,
    ServiceKind,
    ServiceSpec,
    TeamSpec,
)
from damaskrill.messages import FleetView, HostEntry, Member, Request
from damaskrill.utils import check_random_state


def build_member(n=1, *, data_centre="bole", incarnation="a"):
    """Return the n-th router of a data centre."""
    return Member(
        address=f"10.0.0.{n}:7000", data_centre=data_centre, incarnation=incarnation
    )


def build_server(n=1, *, service="dossier-review", data_centre="bole", **fields):
    """Return the n-th backend server of a service."""
    return BackendServerSpec(
        name=f"{service}-{n}",
        service=service,
        address=f"10.1.0.{n}:8000",
        data_centre=data_centre,
        **fields,
    )


def build_engine(name, *, data_centre="bole", n_slots=4):
    """Return an engine incarnation as the store of the platform lists it."""
    return BackendServer(
        server_id=name,
        service="pool",
        address=("127.0.0.1", 9),
        data_centre=data_centre,
        n_slots=n_slots,
    )


def build_stream_route(**fields):
    """Return a route of resumable streams."""
    values = {
        "name": "r-check",
        "host": "desk.example",
        "prefix": "/check/",
        "kind": RequestKind.STREAM,
        "time_limit_ms": 3_000,
        "target_ms": 400,
        "priority": 1,
        "shares": (ServiceShare(service="pool", weight=1),),
        "max_servers": 2,
        "is_resumable": True,
        "has_prompt": True,
    }
    return Route(**{**values, **fields})


def build_text(*, version=1, n_servers=5, servers=None, services=None, **fields):
    """Return a text with one engine service and one action service."""
    if servers is None:
        servers = [build_server(n + 1) for n in range(n_servers)]
    if services is None:
        services = [
            ServiceSpec(name="dossier-review"),
            ServiceSpec(name="issuance", kind=ServiceKind.PLAIN, repeatable=False),
        ]
    centres = sorted({server.data_centre for server in servers})
    fields.setdefault(
        "data_centres", {name: DataCentreSpec(name=name) for name in centres}
    )
    fields.setdefault("limits", LimitSpec())
    return FleetText(
        version=version,
        services={each.name: each for each in services},
        backend_servers={each.name: each for each in servers},
        **fields,
    )


def build_view(*, text=None, own=None, members=None, **fields):
    """Return a view in which all servers of the text are in service."""
    text = text if text is not None else build_text()
    own = own or build_member(1)
    by_service = {}
    for server in text.backend_servers.values():
        by_service.setdefault(server.service, []).append(server)
    members = tuple(members or (own,))
    return FleetView(
        text=text,
        own=own,
        members=members,
        n_listed=fields.pop("n_listed", len(members)),
        n_reachable=fields.pop("n_reachable", len(members)),
        servers_by_service={name: tuple(each) for name, each in by_service.items()},
        **fields,
    )


def build_request(n=1, *, service="dossier-review", now_ms=0, **fields):
    """Return the n-th request."""
    fields.setdefault("team", "team-1")
    fields.setdefault("chat", f"chat-{n}")
    fields.setdefault("deadline_ms", now_ms + 60_000)
    return Request(request_id=f"request-{n}", service=service, **fields)


def build_hosts(members, *, leaving=()):
    """Return the host list entries of routers."""
    return tuple(
        HostEntry(
            address=each.address,
            data_centre=each.data_centre,
            leaving=each.address in leaving,
        )
        for each in members
    )


def build_team(name="team-1", **fields):
    """Return the section of a team."""
    return TeamSpec(name=name, **fields)


def build_random(seed):
    """Return a seeded random generator."""
    return check_random_state(seed)


MINIMAL_TEXT = b"""\
[service dossier-review]
kind = engine

[service issuance]
kind = plain
repeatable = no

[data_centre bole]
in_service = yes

[backend_server engine-1]
service = dossier-review
address = 10.1.0.1:8000
data_centre = bole

[backend_server issuance-1]
service = issuance
address = 10.1.0.2:8000
data_centre = bole
"""

MINIMAL_SETTINGS = b"""\
[process]
data_centre = bole

[callers]
caller_address = 127.0.0.1:0

[peers]
peer_address = 127.0.0.1:0
fleet_key = a-key-for-tests-only

[platform]
configuration_service_url = http://127.0.0.1:8500/text
host_list_url = http://127.0.0.1:8500/hosts
"""


def build_text_with_teams(n_teams, random):
    """Return a text with ``n_teams`` teams in one section."""
    lines = [
        f"team-{n} = {random.randint(1, 99)} {random.randint(0, 9)}"
        for n in range(n_teams)
    ]
    return MINIMAL_TEXT + "\n".join(["[teams]", *lines, ""]).encode()

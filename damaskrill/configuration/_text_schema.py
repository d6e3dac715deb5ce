"""Declaration of all sections and keys of the operators' text."""

from damaskrill.configuration._model import (
    BackendServerSearch,
    BackendServerSpec,
    DataCentreSpec,
    FencingCheck,
    LimitSpec,
    ServiceKind,
    ServiceSpec,
)
from damaskrill.configuration._schema import FileSchema, Key, SectionSchema
from damaskrill.configuration._values import (
    Address,
    Choice,
    Duration,
    Flag,
    Integer,
    Name,
    NameList,
)

__all__ = ["MAX_TEXT_BYTES", "TEAMS_KIND", "TEXT_SCHEMA"]

MAX_TEXT_BYTES = 1_048_576
MAX_LOAD = 100_000
MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
# Has one line a team instead of declared keys; see ``_teams``.
TEAMS_KIND = "teams"

BEARABLE_LOAD = Key(
    name="bearable_load",
    value_type=Integer(minimum=1, maximum=MAX_LOAD, unit="requests"),
    description="Requests at once that a warm backend server bears; an absolute bound.",
)
COLD_LOAD = Key(
    name="cold_load",
    value_type=Integer(minimum=1, maximum=MAX_LOAD, unit="requests"),
    description="Requests at once that it bears just after a start.",
)

SERVICE = SectionSchema(
    kind="service",
    name_field="name",
    target=ServiceSpec,
    description="A service that callers may ask for.",
    keys=(
        Key(
            name="kind",
            value_type=Choice(options={each.value: each for each in ServiceKind}),
            description=(
                "Whether its backend servers are model engines or plain services."
            ),
        ),
        Key(
            name="depends_on",
            value_type=NameList(),
            description="Services that must be in service for this one to work.",
        ),
        Key(
            name="repeatable",
            value_type=Flag(),
            description=(
                "Whether a request may be run more than once; `no` for actions such as "
                "a booking."
            ),
        ),
        Key(
            name="fencing_check",
            value_type=Choice(options={each.value: each for each in FencingCheck}),
            description=(
                "Whether its backend servers refuse orders with an old fencing number."
            ),
        ),
        Key(
            name="first_token_objective_ms",
            value_type=Duration(minimum=1, maximum=HOUR_MS),
            description="Service-level objective for the time to the first token.",
        ),
        Key(
            name="between_tokens_objective_ms",
            value_type=Duration(minimum=1, maximum=MINUTE_MS),
            description="Service-level objective for the time between tokens.",
        ),
        Key(
            name="objective_permille",
            value_type=Integer(minimum=1, maximum=1_000, unit="permille"),
            description="Share of requests that must meet the objectives.",
        ),
        Key(
            name="model",
            value_type=Name(),
            description="Model that its engines are ordered to load.",
        ),
        Key(
            name="adapter",
            value_type=Name(),
            description="Adapter that its engines are ordered to load.",
        ),
        Key(
            name="model_version",
            value_type=Name(),
            description="Version of the model that its engines are ordered to load.",
        ),
    ),
)

DATA_CENTRE = SectionSchema(
    kind="data_centre",
    name_field="name",
    target=DataCentreSpec,
    description="A data centre with backend servers.",
    keys=(
        Key(name="region", value_type=Name(), description="Region that it belongs to."),
        Key(
            name="in_service",
            value_type=Flag(),
            description="Whether its backend servers may receive new work.",
        ),
    ),
)

BACKEND_SERVER = SectionSchema(
    kind="backend_server",
    name_field="name",
    target=BackendServerSpec,
    description="One backend server.",
    keys=(
        Key(name="service", value_type=Name(), description="Service that it serves."),
        Key(
            name="address",
            value_type=Address(),
            description="Where its HTTP interface listens.",
        ),
        Key(
            name="data_centre",
            value_type=Name(),
            description="Data centre in which it stands.",
        ),
        BEARABLE_LOAD,
        COLD_LOAD,
        Key(
            name="leaving",
            value_type=Flag(),
            description="Whether it must receive no new work because it is going away.",
        ),
    ),
)

BACKEND_SERVER_SEARCH = SectionSchema(
    kind="backend_servers",
    name_field="service",
    target=BackendServerSearch,
    description=(
        "How the backend servers of a service are found, where they are not listed one "
        "by one, and what they have in common."
    ),
    keys=(
        Key(
            name="find",
            value_type=Choice(options={"host_list": "host_list"}),
            description=(
                "Takes the hosts that the platform's list names for the service."
            ),
        ),
        BEARABLE_LOAD,
        COLD_LOAD,
    ),
)

LIMITS = SectionSchema(
    kind="limits",
    target=LimitSpec,
    description="Bounds for the whole fleet.",
    keys=(
        Key(
            name="load_multiple_percent",
            value_type=Integer(minimum=100, maximum=10_000, unit="%"),
            description=(
                "Highest load of a backend server, relative to the mean load of its "
                "service."
            ),
        ),
        Key(
            name="load_floor",
            value_type=Integer(minimum=1, maximum=MAX_LOAD, unit="requests"),
            description="Load that is allowed however small the mean load is.",
        ),
        Key(
            name="max_queue_length",
            value_type=Integer(minimum=0, maximum=MAX_LOAD, unit="requests"),
            description="Requests that may wait for one backend server.",
        ),
        Key(
            name="max_queue_wait_ms",
            value_type=Duration(minimum=0, maximum=HOUR_MS),
            description="Longest wait in that queue.",
        ),
        Key(
            name="default_deadline_ms",
            value_type=Duration(minimum=100, maximum=24 * HOUR_MS),
            description="Time that a request has when its caller states none.",
        ),
        Key(
            name="retry_budget_percent",
            value_type=Integer(minimum=0, maximum=1_000, unit="%"),
            description="Retries within the fleet, relative to first tries.",
        ),
        Key(
            name="cache_wait_us_per_token",
            value_type=Integer(minimum=0, maximum=10_000, unit="us"),
            description=(
                "How long a request may wait for the backend server that has its "
                "prefix cached, for each token of the prompt; at most 2 s in all. "
                "More reuses caches better, less gives earlier first tokens."
            ),
        ),
        Key(
            name="team_share",
            value_type=Integer(minimum=1, maximum=9_999),
            description="Weight of a team that `[teams]` does not name.",
        ),
        Key(
            name="team_priority",
            value_type=Integer(minimum=0, maximum=9),
            description=(
                "Priority of a team that `[teams]` does not name; 0 is the most urgent."
            ),
        ),
        Key(
            name="ramp_step_requests",
            value_type=Integer(minimum=1, maximum=1_000, unit="requests"),
            description=(
                "Requests that a backend server must finish after a start before it "
                "may bear one more at once."
            ),
        ),
        Key(
            name="max_loading_servers",
            value_type=Integer(minimum=1, maximum=MAX_LOAD, unit="servers"),
            description="Backend servers that may load from the weight store at once.",
        ),
    ),
)

TEXT_SCHEMA = FileSchema(
    title="Operators' text",
    introduction=(
        "The operators' text says what the fleet does. It is one value of the "
        "platform's configuration service, in INI and UTF-8, of at most "
        f"{MAX_TEXT_BYTES} bytes. A text with any fault is refused whole, and the last "
        "valid one stays in force."
    ),
    sections=(SERVICE, DATA_CENTRE, BACKEND_SERVER, BACKEND_SERVER_SEARCH, LIMITS),
    max_bytes=MAX_TEXT_BYTES,
)

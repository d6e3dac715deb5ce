"""Schema of the sections and keys of the operators' text."""

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
# This section has one line per team instead of declared keys; see ``_teams``.
TEAMS_KIND = "teams"

BEARABLE_LOAD = Key(
    name="bearable_load",
    value_type=Integer(minimum=1, maximum=MAX_LOAD, unit="requests"),
    description=(
        "Capacity of a warm backend server, in concurrent requests; an absolute bound."
    ),
)
COLD_LOAD = Key(
    name="cold_load",
    value_type=Integer(minimum=1, maximum=MAX_LOAD, unit="requests"),
    description="Capacity directly after a cold start, in concurrent requests.",
)

SERVICE = SectionSchema(
    kind="service",
    name_field="name",
    target=ServiceSpec,
    description="A service that callers may request.",
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
            description="Services that must be available for this one to work.",
        ),
        Key(
            name="repeatable",
            value_type=Flag(),
            description=(
                "Whether a request may be executed more than once; `no` for actions "
                "such as a booking."
            ),
        ),
        Key(
            name="fencing_check",
            value_type=Choice(options={each.value: each for each in FencingCheck}),
            description=(
                "Whether its backend servers reject orders with an outdated fencing "
                "number."
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
            description="Fraction of requests that must meet the objectives.",
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
        Key(name="region", value_type=Name(), description="Region of the data centre."),
        Key(
            name="in_service",
            value_type=Flag(),
            description="Whether its backend servers may receive new requests.",
        ),
    ),
)

BACKEND_SERVER = SectionSchema(
    kind="backend_server",
    name_field="name",
    target=BackendServerSpec,
    description="A backend server.",
    keys=(
        Key(name="service", value_type=Name(), description="Service that it serves."),
        Key(
            name="address",
            value_type=Address(),
            description="Address of its HTTP interface.",
        ),
        Key(
            name="data_centre",
            value_type=Name(),
            description="Data centre in which it runs.",
        ),
        BEARABLE_LOAD,
        COLD_LOAD,
        Key(
            name="leaving",
            value_type=Flag(),
            description="Whether it is being drained and receives no new requests.",
        ),
    ),
)

BACKEND_SERVER_SEARCH = SectionSchema(
    kind="backend_servers",
    name_field="service",
    target=BackendServerSearch,
    description=(
        "Discovery of the backend servers of a service that are not listed "
        "individually, and their common properties."
    ),
    keys=(
        Key(
            name="find",
            value_type=Choice(options={"host_list": "host_list"}),
            description=(
                "Source; `host_list` uses the hosts that the platform lists for the "
                "service."
            ),
        ),
        BEARABLE_LOAD,
        COLD_LOAD,
    ),
)

LIMITS = SectionSchema(
    kind="limits",
    target=LimitSpec,
    description="Fleet-wide limits.",
    keys=(
        Key(
            name="load_multiple_percent",
            value_type=Integer(minimum=100, maximum=10_000, unit="%"),
            description=(
                "Maximum load of a backend server, relative to the mean load of its "
                "service."
            ),
        ),
        Key(
            name="load_floor",
            value_type=Integer(minimum=1, maximum=MAX_LOAD, unit="requests"),
            description="Load that is always allowed, however small the mean load is.",
        ),
        Key(
            name="max_queue_length",
            value_type=Integer(minimum=0, maximum=MAX_LOAD, unit="requests"),
            description="Maximum number of requests that wait for one backend server.",
        ),
        Key(
            name="max_queue_wait_ms",
            value_type=Duration(minimum=0, maximum=HOUR_MS),
            description="Maximum wait in that queue.",
        ),
        Key(
            name="default_deadline_ms",
            value_type=Duration(minimum=100, maximum=24 * HOUR_MS),
            description="Deadline of a request whose caller sets none.",
        ),
        Key(
            name="retry_budget_percent",
            value_type=Integer(minimum=0, maximum=1_000, unit="%"),
            description="Retries within the fleet, relative to first attempts.",
        ),
        Key(
            name="cache_wait_us_per_token",
            value_type=Integer(minimum=0, maximum=10_000, unit="us"),
            description=(
                "Maximum wait for the backend server that has the prefix of a request "
                "cached, per token of the prompt; at most 2 s in total. A higher value "
                "improves cache reuse, a lower one the time to the first token."
            ),
        ),
        Key(
            name="team_share",
            value_type=Integer(minimum=1, maximum=9_999),
            description="Weight of a team that `[teams]` does not list.",
        ),
        Key(
            name="team_priority",
            value_type=Integer(minimum=0, maximum=9),
            description=(
                "Priority of a team that `[teams]` does not list; 0 is the most urgent."
            ),
        ),
        Key(
            name="ramp_step_requests",
            value_type=Integer(minimum=1, maximum=1_000, unit="requests"),
            description=(
                "Requests that a backend server must finish after a cold start to "
                "raise its limit by one concurrent request."
            ),
        ),
        Key(
            name="max_loading_servers",
            value_type=Integer(minimum=1, maximum=MAX_LOAD, unit="servers"),
            description=(
                "Maximum number of backend servers that load from the weight store "
                "concurrently."
            ),
        ),
    ),
)

TEXT_SCHEMA = FileSchema(
    title="Operators' text",
    introduction=(
        "The operators' text configures the fleet. It is one value of the platform's "
        "configuration service, an INI file in UTF-8 of at most "
        f"{MAX_TEXT_BYTES} bytes. A text with any fault is rejected, and the last "
        "valid one stays active."
    ),
    sections=(SERVICE, DATA_CENTRE, BACKEND_SERVER, BACKEND_SERVER_SEARCH, LIMITS),
    max_bytes=MAX_TEXT_BYTES,
)

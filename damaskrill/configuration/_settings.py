"""Settings of a process and the schema of their keys."""

from typing import Any

from attrs import field, frozen

from damaskrill.configuration._faults import FaultCode, FaultList
from damaskrill.configuration._ini import decode_content, read_blocks, read_values
from damaskrill.configuration._peer_limits import PeerLimits
from damaskrill.configuration._schema import FileSchema, Key, SectionSchema
from damaskrill.configuration._values import (
    Address,
    Choice,
    Duration,
    Integer,
    Name,
    PrintableText,
    Secret,
    Size,
    Url,
    shorten_value,
)

__all__ = [
    "SETTINGS_SCHEMA",
    "Settings",
    "parse_settings",
]

MAX_SETTINGS_BYTES = 65_536
MIN_FLEET_KEY_LENGTH = 8
# Space in a message for the fields of a request other than its body.
MESSAGE_OVERHEAD_BYTES = 65_536
# A single late heartbeat must not end the connection.
MIN_HEARTBEATS_PER_TIMEOUT = 2
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
GIBIBYTE = 1_073_741_824


@frozen(kw_only=True)
class Settings:
    """Settings of a process.

    Parameters
    ----------
    data_centre : str
        Data centre of the process, as named in the operators' text.
    caller_address, peer_address : str
        ``IP:port`` to listen on for callers and for other routers; other routers
        connect to the latter.
    fleet_key : str
        Secret shared by all routers.
    configuration_service_url, host_list_url : str
        URLs where the platform publishes the text and the list of hosts.
    log_level : str
        Lowest level of the log lines that are written.
    stop_timeout_ms : int
        Maximum duration of a graceful stop, in milliseconds.
    drain_time_ms : int
        Minimum duration of a graceful stop, in milliseconds; new requests are refused.
    max_body_bytes, max_header_bytes : int
        Maximum sizes of the body and the header of a caller's request, in bytes.
    max_connections : int
        Maximum number of concurrent connections of callers.
    header_timeout_ms, body_timeout_ms, idle_timeout_ms : int
        Timeouts for receiving a caller's header, for receiving its body, and between
        two requests on a connection, in milliseconds.
    connect_timeout_ms, progress_timeout_ms : int
        Timeouts for connecting to a backend server, and without a received byte during
        its answer, in milliseconds.
    trace_output : str
        File for recorded inputs, ``-`` for standard output, empty for no recording.
    trace_sample_permille : int
        Fraction of requests that are recorded, in thousandths.
    trace_rotate_bytes : int
        Size at which a trace file is rotated, in bytes.
    peer_limits : PeerLimits
        Limits of the transport between routers.
    """

    data_centre: str
    caller_address: str
    peer_address: str
    fleet_key: str = field(repr=False)
    configuration_service_url: str
    host_list_url: str
    log_level: str = "INFO"
    stop_timeout_ms: int = 120_000
    drain_time_ms: int = 2_000
    max_body_bytes: int = 8 * 1024 * 1024
    max_header_bytes: int = 16 * 1024
    max_connections: int = 4_096
    header_timeout_ms: int = 5_000
    body_timeout_ms: int = 30_000
    idle_timeout_ms: int = 75_000
    connect_timeout_ms: int = 1_000
    progress_timeout_ms: int = 20_000
    trace_output: str = ""
    trace_sample_permille: int = 1_000
    trace_rotate_bytes: int = 64 * 1024 * 1024
    peer_limits: PeerLimits = field(factory=PeerLimits)


SETTINGS_SCHEMA = FileSchema(
    title="Settings",
    introduction=(
        "Each process reads its settings once, at its start. They define where it runs "
        "and which resources it may use; the operators' text defines what the fleet "
        "does."
    ),
    max_bytes=MAX_SETTINGS_BYTES,
    sections=(
        SectionSchema(
            kind="process",
            target=Settings,
            description="Location, logging and shutdown of the process.",
            keys=(
                Key(
                    name="data_centre",
                    value_type=Name(),
                    description="Data centre of the host, as named in the text.",
                ),
                Key(
                    name="log_level",
                    value_type=Choice(options={name: name for name in LOG_LEVELS}),
                    description="Lowest level of the log lines that are written.",
                ),
                Key(
                    name="stop_timeout_ms",
                    value_type=Duration(minimum=1_000, maximum=HOUR_MS),
                    description=(
                        "Maximum duration of a graceful stop; answers that still run "
                        "then are aborted."
                    ),
                ),
                Key(
                    name="drain_time_ms",
                    value_type=Duration(minimum=0, maximum=HOUR_MS),
                    description=(
                        "Minimum duration of a graceful stop; within it the load "
                        "balancer must notice that /readyz reports the process as "
                        "not ready. New requests are refused."
                    ),
                ),
            ),
        ),
        SectionSchema(
            kind="callers",
            target=Settings,
            description="Interface for callers.",
            keys=(
                Key(
                    name="caller_address",
                    value_type=Address(),
                    description=(
                        "Address to listen on for callers; port 0 picks a free port."
                    ),
                ),
                Key(
                    name="max_body_bytes",
                    value_type=Size(minimum=1_024, maximum=GIBIBYTE),
                    description="Maximum size of the body of a request.",
                ),
                Key(
                    name="max_header_bytes",
                    value_type=Size(minimum=1_024, maximum=1_048_576),
                    description="Maximum size of the header of a request.",
                ),
                Key(
                    name="max_connections",
                    value_type=Integer(minimum=1, maximum=1_000_000),
                    description="Maximum number of concurrent connections of callers.",
                ),
                Key(
                    name="header_timeout_ms",
                    value_type=Duration(minimum=100, maximum=HOUR_MS),
                    description="Timeout for receiving a complete header.",
                ),
                Key(
                    name="body_timeout_ms",
                    value_type=Duration(minimum=100, maximum=HOUR_MS),
                    description="Timeout for receiving a complete body.",
                ),
                Key(
                    name="idle_timeout_ms",
                    value_type=Duration(minimum=100, maximum=HOUR_MS),
                    description="Idle timeout between two requests on a connection.",
                ),
            ),
        ),
        SectionSchema(
            kind="peers",
            target=Settings,
            description="Interface for other routers.",
            keys=(
                Key(
                    name="peer_address",
                    value_type=Address(),
                    description="Address to listen on, to which other routers connect.",
                ),
                Key(
                    name="fleet_key",
                    value_type=Secret(minimum_length=MIN_FLEET_KEY_LENGTH),
                    description="Secret shared by all routers of the fleet.",
                ),
            ),
        ),
        SectionSchema(
            kind="peer_limits",
            target=PeerLimits,
            description="Limits of the transport between routers; the same on all.",
            keys=(
                Key(
                    name="max_message_bytes",
                    value_type=Size(minimum=65_536, maximum=GIBIBYTE),
                    description=(
                        "Maximum size of a message; must exceed the maximum size of "
                        "the body of a request."
                    ),
                ),
                Key(
                    name="max_queued_messages",
                    value_type=Integer(minimum=1, maximum=1_000_000),
                    description="Maximum number of messages queued for one router.",
                ),
                Key(
                    name="max_queued_bytes",
                    value_type=Size(minimum=65_536, maximum=GIBIBYTE),
                    description="Maximum number of bytes queued for one router.",
                ),
                Key(
                    name="max_links",
                    value_type=Integer(minimum=2, maximum=65_536),
                    description="Maximum number of connections to other routers.",
                ),
                Key(
                    name="greeting_timeout_ms",
                    value_type=Duration(minimum=100, maximum=MINUTE_MS),
                    description="Timeout of connecting and the handshake together.",
                ),
                Key(
                    name="heartbeat_interval_ms",
                    value_type=Duration(minimum=100, maximum=MINUTE_MS),
                    description="Time without sending after which a heartbeat is sent.",
                ),
                Key(
                    name="silence_timeout_ms",
                    value_type=Duration(minimum=300, maximum=10 * MINUTE_MS),
                    description="Time without receiving after which a link is lost.",
                ),
                Key(
                    name="idle_timeout_ms",
                    value_type=Duration(minimum=1_000, maximum=24 * HOUR_MS),
                    description="Time without use after which a connection is closed.",
                ),
            ),
        ),
        SectionSchema(
            kind="platform",
            target=Settings,
            description="Addresses where the platform publishes.",
            keys=(
                Key(
                    name="configuration_service_url",
                    value_type=Url(),
                    description="URL of the text in the configuration service.",
                ),
                Key(
                    name="host_list_url",
                    value_type=Url(),
                    description="URL of the list of live and draining hosts.",
                ),
            ),
        ),
        SectionSchema(
            kind="backend_servers",
            target=Settings,
            description="Connections to backend servers.",
            keys=(
                Key(
                    name="connect_timeout_ms",
                    value_type=Duration(minimum=10, maximum=MINUTE_MS),
                    description="Timeout for connecting to a backend server.",
                ),
                Key(
                    name="progress_timeout_ms",
                    value_type=Duration(minimum=100, maximum=HOUR_MS),
                    description=(
                        "Maximum time without a received byte during the answer of a "
                        "backend server."
                    ),
                ),
            ),
        ),
        SectionSchema(
            kind="trace",
            target=Settings,
            description="Recording of inputs for replay.",
            keys=(
                Key(
                    name="trace_output",
                    value_type=PrintableText(),
                    description="File, `-` for standard output, or empty for none.",
                ),
                Key(
                    name="trace_sample_permille",
                    value_type=Integer(minimum=0, maximum=1_000, unit="permille"),
                    description="Fraction of requests that are recorded.",
                ),
                Key(
                    name="trace_rotate_bytes",
                    value_type=Size(minimum=65_536, maximum=GIBIBYTE),
                    description="Size at which a trace file is rotated.",
                ),
            ),
        ),
    ),
)


def parse_settings(content: bytes) -> Settings:
    """Parse a settings file.

    Parameters
    ----------
    content : bytes
        Content of the file, in UTF-8.

    Returns
    -------
    Settings
        The settings.

    Raises
    ------
    InvalidConfigurationError
        If the file has faults; holds all of them.
    """
    faults = FaultList()
    text = decode_content(content, SETTINGS_SCHEMA.max_bytes, faults)
    faults.raise_if_any()
    values: dict[type, dict[str, Any]] = {Settings: {}, PeerLimits: {}}
    schemas = SETTINGS_SCHEMA.sections_by_kind
    kinds_found = set()
    for block in read_blocks(text, faults):
        schema = schemas.get(block.kind)
        if schema is None:
            known = ", ".join(f"[{kind}]" for kind in schemas)
            header = shorten_value(block.header)
            code = FaultCode.UNKNOWN_SECTION
            faults.add(block.line, code, header=header, known=known)
            continue
        kinds_found.add(block.kind)
        values[schema.target].update(read_values(block, schema, faults))
    _check_sections_present(kinds_found, faults)
    faults.raise_if_any()
    settings = Settings(
        peer_limits=PeerLimits(**values[PeerLimits]), **values[Settings]
    )
    _check_conflicts(settings, faults)
    faults.raise_if_any()
    return settings


def _check_conflicts(settings: Settings, faults: FaultList) -> None:
    limits = settings.peer_limits
    _check_at_least(
        "max_message_bytes",
        limits.max_message_bytes,
        settings.max_body_bytes + MESSAGE_OVERHEAD_BYTES,
        "the maximum size of a request's body (max_body_bytes)",
        faults,
    )
    _check_at_least(
        "silence_timeout_ms",
        limits.silence_timeout_ms,
        MIN_HEARTBEATS_PER_TIMEOUT * limits.heartbeat_interval_ms,
        "the heartbeats due in that time (heartbeat_interval_ms)",
        faults,
    )


def _check_at_least(
    key: str, value: int, least: int, reason: str, faults: FaultList
) -> None:
    if value < least:
        code = FaultCode.CONFLICTING_VALUES
        faults.add(0, code, key=key, value=value, least=least, reason=reason)


def _check_sections_present(kinds_found: set[str], faults: FaultList) -> None:
    for schema in SETTINGS_SCHEMA.sections:
        names = schema.required_names
        if names and schema.kind not in kinds_found:
            keys = ", ".join(names)
            code = FaultCode.MISSING_SECTION
            faults.add(0, code, header=schema.kind, keys=keys)

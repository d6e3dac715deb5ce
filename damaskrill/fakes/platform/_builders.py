"""Builders of store items, request headers and router settings for tests."""

from typing import Any

__all__ = [
    "MAX_SERVERS",
    "NOT_RUN_STATUSES",
    "build_caller_headers",
    "build_configuration",
    "build_entry",
    "build_settings",
]

# Servers to which a request may be sent by the routes of the configurations.
MAX_SERVERS = 2
# Statuses with which a router or server states that the request was not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


def build_configuration(*, version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with one route of each kind.

    Parameters
    ----------
    version : int
        Version number.
    **changes : object
        Fields that override the defaults.
    """
    route = {
        "host": "desk.example",
        "timeoutMs": 3_000,
        "targetLatencyMs": 400,
        "priority": 1,
        "maxAttempts": MAX_SERVERS,
        "public": False,
    }
    stream = {**route, "kind": "streaming", "service": "pool", "stickySessions": True}
    content = {
        "version": version,
        "routes": [
            {**stream, "name": "r-chat", "prefix": "/chat/", "streamResume": False},
            {**stream, "name": "r-check", "prefix": "/check/", "streamResume": True},
            {
                **route,
                "name": "r-issue",
                "prefix": "/issue/",
                "kind": "non_idempotent",
                "service": "app",
            },
            {
                **route,
                "name": "r-read",
                "prefix": "/read/",
                "kind": "idempotent",
                "service": "app",
            },
        ],
        "services": [
            {
                "name": "pool",
                "healthPath": "/health",
                "maxConnections": 100,
                "coldS": 3.0,
                "coldPerS": 10.0,
                "engineName": {"slotCount": 8},
            },
            {"name": "app", "healthPath": "/health", "maxConnections": 50},
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 100_000,
            "headerTimeoutMs": 500,
            "idleTimeoutMs": 2_000,
        },
        "tenants": [{"name": "desk", "apiKeys": ["key-1", "key-2"], "priority": 1}],
    }
    return {**content, **changes}


def build_entry(
    *, service: str, address: tuple[str, int], **changes: Any
) -> dict[str, Any]:
    """Return the store entry of a ready server.

    Parameters
    ----------
    service : str
        Name of its service.
    address : tuple of (str, int)
        Its address.
    **changes : object
        Fields that override the defaults.
    """
    entry = {
        "service": service,
        "address": f"{address[0]}:{address[1]}",
        "zone": "bole",
        "version": "v1",
        "slotCount": 8,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
        "born": 1_000,
    }
    return {**entry, **changes}


def build_caller_headers(
    *, request_id: str, key: str, deadline_ms: int, prompt: str = ""
) -> list[tuple[str, str]]:
    """Return the headers of a caller's request.

    Parameters
    ----------
    request_id : str
        ID of the request.
    key : str
        API key of the caller's team.
    deadline_ms : int
        Time for which the caller waits, in milliseconds.
    prompt : str, default=""
        Prompt parts; empty for a request without a stream.
    """
    headers = [
        ("Host", "desk.example"),
        ("Damaskrill-Request-Id", request_id),
        ("Damaskrill-Request-Deadline", str(deadline_ms)),
        ("Authorization", f"Bearer {key}"),
    ]
    if prompt:
        headers.append(("Damaskrill-Prompt-Prefix", prompt))
    return headers


def build_settings(
    *,
    name: str,
    data_centre: str,
    host: str,
    ports: tuple[int, int, int],
    seeds: str,
    store: tuple[str, int],
    grace_s: int,
) -> str:
    """Return the content of a settings file.

    Parameters
    ----------
    name, data_centre, host : str
        Name of the router, its data centre and its IP address.
    ports : tuple of int
        Ports for callers, readiness and other routers.
    seeds : str
        Addresses of routers to join, separated by commas.
    store : tuple of (str, int)
        Address of the store.
    grace_s : int
        Time from SIGTERM until the process is killed, in seconds.
    """
    callers, readiness, peers = ports
    fields = {
        "node": name,
        "zone": data_centre,
        "bindIp": host,
        "listen.front": f"{host}:{callers}",
        "listen.ready": f"{host}:{readiness}",
        "listen.control": f"{host}:{peers}",
        "seedAddrs": seeds,
        "platform.address": f"{store[0]}:{store[1]}",
        "bounds.gracePeriodS": grace_s,
        "bounds.budgetRatio": 0.2,
        "bounds.retrySlack": 54,
        "bounds.budgetWindowS": 10,
        "bounds.coldFactor": 1.5,
        "bounds.coldSlack": 5,
    }
    return "".join(f"{field}={value}\n" for field, value in fields.items())

"""What operators and servers write to the store."""

from typing import Any

__all__ = ["build_configuration", "build_entry"]


def build_configuration(*, version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with one route of each kind.

    Parameters
    ----------
    version : int
        Its number.
    **changes : object
        Fields that differ.
    """
    route = {
        "host": "desk.example",
        "timeoutMs": 3_000,
        "targetLatencyMs": 400,
        "priority": 1,
        "maxAttempts": 2,
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
    """Return the entry of a server that is ready.

    Parameters
    ----------
    service : str
        What it offers.
    address : tuple of (str, int)
        Where it listens.
    **changes : object
        Fields that differ.
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

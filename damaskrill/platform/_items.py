"""Decoding of the items of the platform's store."""

import math
from typing import Any

import orjson

from damaskrill.catalog import (
    BackendServer,
    CallerLimits,
    CatalogItem,
    Configuration,
    ConfigurationItem,
    DataCentreOutItem,
    IgnoredItem,
    RequestKind,
    Route,
    ServerItem,
    ServiceShare,
    ServiceSpec,
    Team,
    UnusableConfigurationError,
    UnusableServerError,
)

__all__ = ["SERVER_PREFIX", "ItemDecoder", "is_operator_item"]

CONFIGURATION_KEY = "op/config"
DATA_CENTRE_OUT_PREFIX = "op/evacuate/"
SERVER_PREFIX = "servers/"
MS_PER_S = 1_000

REQUEST_KINDS = {
    "idempotent": RequestKind.REPEATABLE,
    "non_idempotent": RequestKind.AT_MOST_ONCE,
    "streaming": RequestKind.STREAM,
}
# Whether a server in this state is leaving.
IS_LEAVING_BY_STATE = {"ready": False, "draining": True}


class ItemDecoder:
    """Decoder of the store's items.

    Notes
    -----
    Successive configurations share most of their routes, so that decoded routes are
    reused: a configuration may have a thousand of them, and versions may follow each
    other within some hundred milliseconds.
    """

    def __init__(self) -> None:
        # Routes of the last configuration and the content that they were decoded from.
        self._routes: dict[str, tuple[dict[str, Any], Route]] = {}

    def decode(self, key: str, value: bytes) -> CatalogItem:
        """Decode an item of the store.

        Parameters
        ----------
        key : str
            Key of the item.
        value : bytes
            Written value; empty for a removed item.

        Returns
        -------
        CatalogItem
            Decoded item; an invalid one contains the error.
        """
        if key == CONFIGURATION_KEY:
            return self._decode_configuration(value)
        if key.startswith(DATA_CENTRE_OUT_PREFIX):
            data_centre = key.removeprefix(DATA_CENTRE_OUT_PREFIX)
            return DataCentreOutItem(data_centre=data_centre)
        if key.startswith(SERVER_PREFIX):
            return _decode_server(key.removeprefix(SERVER_PREFIX), value)
        return IgnoredItem(key=key)

    def _decode_configuration(self, value: bytes) -> ConfigurationItem:
        try:
            content = orjson.loads(value)
            routes = tuple(self._to_route(each) for each in content["routes"])
            configuration = _to_configuration(content, routes)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            reason = f"{type(error).__name__}: {error}"
            return ConfigurationItem(error=UnusableConfigurationError(reason=reason))
        self._routes = {
            route.name: (each, route)
            for each, route in zip(content["routes"], routes, strict=True)
        }
        return ConfigurationItem(configuration=configuration)

    def _to_route(self, content: dict[str, Any]) -> Route:
        known = self._routes.get(content["name"])
        if known is not None and known[0] == content:
            return known[1]
        return _to_route(content)


def is_operator_item(key: str) -> bool:
    """Return whether operators write the item with a key."""
    return key == CONFIGURATION_KEY or key.startswith(DATA_CENTRE_OUT_PREFIX)


def _to_configuration(
    content: dict[str, Any], routes: tuple[Route, ...]
) -> Configuration:
    services = [_to_service(each) for each in content["services"]]
    limits = content.get("limits", {})
    defaults = CallerLimits()
    return Configuration(
        version=int(content["version"]),
        routes=routes,
        services={each.name: each for each in services},
        team_by_key=_to_teams(content.get("tenants")),
        limits=CallerLimits(
            max_header_bytes=limits.get("maxHeaderBytes", defaults.max_header_bytes),
            max_body_bytes=limits.get("maxBodyBytes", defaults.max_body_bytes),
            header_timeout_ms=limits.get("headerTimeoutMs", defaults.header_timeout_ms),
            idle_timeout_ms=limits.get("idleTimeoutMs", defaults.idle_timeout_ms),
        ),
    )


def _to_route(content: dict[str, Any]) -> Route:
    split = content.get("trafficSplit") or [{"service": content["service"]}]
    shares = [
        ServiceShare(service=each["service"], weight=float(each.get("weight", 1)))
        for each in split
    ]
    return Route(
        name=content["name"],
        host=content["host"].lower(),
        prefix=content["prefix"],
        kind=REQUEST_KINDS[content["kind"]],
        time_limit_ms=int(content["timeoutMs"]),
        target_ms=int(content.get("targetLatencyMs", content["timeoutMs"])),
        max_pause_ms=int(content.get("targetGapMs") or 0),
        priority=int(content.get("priority", 0)),
        shares=tuple(shares),
        max_servers=int(content.get("maxAttempts", 1)),
        is_public=bool(content.get("public", False)),
        # The field means that requests list the parts of their prompt, not that callers
        # have a session.
        has_prompt=bool(content.get("stickySessions", False)),
        is_resumable=bool(content.get("streamResume", False)),
        regions=_to_regions(content),
    )


def _to_service(content: dict[str, Any]) -> ServiceSpec:
    return ServiceSpec(
        name=content["name"],
        max_connections=int(content.get("maxConnections", 0)),
        cold_duration_ms=math.ceil(content.get("coldS", 0) * MS_PER_S),
        cold_requests_per_s=float(content.get("coldPerS", 0)),
        # The field is not a name, but contains the properties of the engine.
        is_engine=bool(content.get("engineName")),
        health_path=str(content.get("healthPath") or "/"),
    )


def _to_regions(content: dict[str, Any]) -> frozenset[str] | None:
    regions = content.get("allowedRegions")
    return None if regions is None else frozenset(regions)


def _to_teams(content: list[dict[str, Any]] | None) -> dict[str, Team] | None:
    if content is None:
        return None
    teams = {}
    for each in content:
        team = Team(
            name=each["name"],
            priority=each.get("priority"),
            regions=_to_regions(each),
        )
        teams.update({key: team for key in each["apiKeys"]})
    return teams


def _decode_server(server_id: str, value: bytes) -> ServerItem:
    if not value:
        return ServerItem(server_id=server_id)
    try:
        return ServerItem(
            server_id=server_id, server=_to_server(server_id, orjson.loads(value))
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        reason = f"{type(error).__name__}: {error}"
        unusable = UnusableServerError(server_id=server_id, reason=reason)
        return ServerItem(server_id=server_id, error=unusable)


def _to_server(server_id: str, content: dict[str, Any]) -> BackendServer:
    host, _, port = content["address"].rpartition(":")
    if not host or not port.isdigit():
        raise ValueError("address is not HOST:PORT")
    for name in ("service", "zone"):
        if not isinstance(content[name], str):
            raise TypeError(f"{name} is not a string")
    for name in ("slotCount", "coldRemainingMs", "sequence"):
        if type(content[name]) not in (int, float):
            raise TypeError(f"{name} is not a number")
    started_at_ms = content.get("born", 0)
    if type(started_at_ms) is not int:
        raise TypeError("born is not an integer")
    version = content.get("version")
    return BackendServer(
        server_id=server_id,
        started_at_ms=started_at_ms,
        service=content["service"],
        address=(host, int(port)),
        data_centre=content["zone"],
        n_slots=int(content["slotCount"]),
        is_leaving=IS_LEAVING_BY_STATE[content["state"]],
        cold_for_ms=max(0, math.ceil(content["coldRemainingMs"])),
        version=version if isinstance(version, str) else "",
    )

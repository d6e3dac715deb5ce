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
from damaskrill.platform._values import (
    MAX_DURATION_MS,
    MAX_NUMBER,
    check_text,
    read_flag,
    read_integer,
    read_number,
    read_text,
)

__all__ = ["SERVER_PREFIX", "ItemDecoder", "is_operator_item"]

CONFIGURATION_KEY = "op/config"
DATA_CENTRE_OUT_PREFIX = "op/evacuate/"
SERVER_PREFIX = "servers/"
MS_PER_S = 1_000
MAX_PORT = 65_535
MAX_SLOTS = 1_000_000
MAX_PREFIX = 8_192
# Errors of a value that is missing, of another type or out of range.
INVALID_VALUE = (KeyError, TypeError, ValueError, AttributeError, OverflowError)

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
        except INVALID_VALUE as error:
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
    return Configuration(
        version=read_integer(content, "version"),
        routes=routes,
        services={each.name: each for each in services},
        team_by_key=_to_teams(content.get("tenants")),
        limits=_to_limits(content.get("limits") or {}),
    )


def _to_limits(content: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()

    def read(name: str, default: int, most: int = MAX_NUMBER) -> int:
        return read_integer(content, name, default=default, most=most)

    longest_ms = MAX_DURATION_MS
    return CallerLimits(
        max_header_bytes=read("maxHeaderBytes", defaults.max_header_bytes),
        max_body_bytes=read("maxBodyBytes", defaults.max_body_bytes),
        header_timeout_ms=read(
            "headerTimeoutMs", defaults.header_timeout_ms, longest_ms
        ),
        idle_timeout_ms=read("idleTimeoutMs", defaults.idle_timeout_ms, longest_ms),
    )


def _to_route(content: dict[str, Any]) -> Route:
    split = content.get("trafficSplit") or [{"service": content["service"]}]
    shares = [
        ServiceShare(
            service=read_text(each, "service"),
            weight=float(read_number(each, "weight", default=1)),
        )
        for each in split
    ]
    time_limit_ms = read_integer(content, "timeoutMs", most=MAX_DURATION_MS)

    def read_duration(name: str, default_ms: int) -> int:
        return read_integer(content, name, default=default_ms, most=MAX_DURATION_MS)

    return Route(
        name=read_text(content, "name"),
        host=read_text(content, "host").lower(),
        prefix=read_text(content, "prefix", max_length=MAX_PREFIX),
        kind=REQUEST_KINDS[content["kind"]],
        time_limit_ms=time_limit_ms,
        target_ms=read_duration("targetLatencyMs", time_limit_ms),
        max_pause_ms=read_duration("targetGapMs", 0),
        priority=read_integer(content, "priority", default=0),
        shares=tuple(shares),
        max_servers=read_integer(content, "maxAttempts", default=1),
        is_public=read_flag(content, "public"),
        # The field means that requests list the parts of their prompt, not that callers
        # have a session.
        has_prompt=read_flag(content, "stickySessions"),
        is_resumable=read_flag(content, "streamResume"),
        regions=_to_regions(content),
    )


def _to_service(content: dict[str, Any]) -> ServiceSpec:
    cold_s = read_number(content, "coldS", default=0, most=MAX_DURATION_MS / MS_PER_S)
    return ServiceSpec(
        name=read_text(content, "name"),
        max_connections=read_integer(content, "maxConnections", default=0),
        cold_duration_ms=math.ceil(MS_PER_S * cold_s),
        cold_requests_per_s=float(read_number(content, "coldPerS", default=0)),
        # The field is not a name, but contains the properties of the engine.
        is_engine=bool(content.get("engineName")),
        n_memory_tokens=_read_memory(content.get("engineName")),
        health_path=str(content.get("healthPath") or "/"),
    )


def _read_memory(content: Any) -> int:
    # An engine without readable properties is used, as one whose memory is not known.
    try:
        return read_integer(content, "kvTokens", default=0)
    except INVALID_VALUE:
        return 0


def _to_regions(content: dict[str, Any]) -> frozenset[str] | None:
    regions = content.get("allowedRegions")
    return None if regions is None else frozenset(regions)


def _to_teams(content: list[dict[str, Any]] | None) -> dict[str, Team] | None:
    if content is None:
        return None
    teams = {}
    for each in content:
        priority = each.get("priority")
        team = Team(
            name=read_text(each, "name"),
            priority=None if priority is None else read_integer(each, "priority"),
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
    except INVALID_VALUE as error:
        reason = f"{type(error).__name__}: {error}"
        unusable = UnusableServerError(server_id=server_id, reason=reason)
        return ServerItem(server_id=server_id, error=unusable)


def _to_server(server_id: str, content: dict[str, Any]) -> BackendServer:
    check_text("the key", server_id)
    host, _, port = read_text(content, "address").rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError("address is not HOST:PORT")
    read_number(content, "sequence")
    started_at_ms = read_number(content, "born", default=0)
    if type(started_at_ms) is not int:
        raise TypeError("born is not an integer")
    cold_ms = read_number(
        content, "coldRemainingMs", least=-MAX_DURATION_MS, most=MAX_DURATION_MS
    )
    return BackendServer(
        server_id=server_id,
        started_at_ms=started_at_ms,
        service=read_text(content, "service"),
        address=(host, int(port)),
        data_centre=read_text(content, "zone"),
        n_slots=read_integer(content, "slotCount", most=MAX_SLOTS),
        is_leaving=IS_LEAVING_BY_STATE[content["state"]],
        cold_for_ms=max(0, math.ceil(cold_ms)),
        version=_read_version(content),
    )


def _read_version(content: dict[str, Any]) -> str:
    # A server without a readable version is used, but goes on with its own streams
    # only.
    try:
        return read_text(content, "version")
    except (KeyError, TypeError, ValueError):
        return ""

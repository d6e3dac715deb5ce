"""Factory of the platform binding."""

from typing import Any

from damaskrill.gateway import PlatformBinding
from damaskrill.platform._caches import cache_request, read_cache
from damaskrill.platform._headers import (
    READINESS_PATH,
    echo_headers,
    grant_event,
    grant_headers,
    is_server_answer,
    peer_headers,
    read_answer,
    read_peer_answer,
    read_peer_events,
    read_request,
    server_headers,
)
from damaskrill.platform._items import ItemDecoder, is_operator_item
from damaskrill.platform._statements import (
    health_request,
    read_cold_ms,
    read_statement,
    statement_request,
)
from damaskrill.platform._store import PlatformStore

__all__ = ["build_platform_binding"]


def build_platform_binding(
    *, reactor: Any, address: tuple[str, int]
) -> PlatformBinding:
    """Return the platform binding with a client of the store at an address."""
    return PlatformBinding(
        readiness_path=READINESS_PATH,
        decode_item=ItemDecoder().decode,
        is_operator_item=is_operator_item,
        read_request=read_request,
        read_answer=read_answer,
        is_server_answer=is_server_answer,
        server_headers=server_headers,
        echo_headers=echo_headers,
        read_peer_answer=read_peer_answer,
        peer_headers=peer_headers,
        read_peer_events=read_peer_events,
        grant_headers=grant_headers,
        grant_event=grant_event,
        cache_request=cache_request,
        health_request=health_request,
        read_cold_ms=read_cold_ms,
        statement_request=statement_request,
        read_statement=read_statement,
        read_cache=read_cache,
        store=PlatformStore(reactor=reactor, address=address),
    )

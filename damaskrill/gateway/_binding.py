"""Interface that a platform's adapter provides to the gateway."""

from collections.abc import Callable
from typing import Protocol

from attrs import frozen

from damaskrill.catalog import BackendServer, CatalogItem, Team
from damaskrill.feed import BaseStoreClient
from damaskrill.http1 import AnswerHead, CallerRequest, Headers, OutgoingRequest
from damaskrill.steering import (
    AnswerMetadata,
    CacheContent,
    RequestMetadata,
    ServerGrant,
)

__all__ = ["PeerHeaders", "PlatformBinding", "ServerHeaders"]


class ServerHeaders(Protocol):
    """Callable that builds the headers of a request to a backend server."""

    def __call__(
        self,
        request: CallerRequest,
        *,
        server: BackendServer,
        team: Team | None,
        remaining_ms: int,
        resume_after: int | None,
        cache_source: BackendServer | None,
        urgency: int | None,
    ) -> Headers:
        """Return the headers."""


class PeerHeaders(Protocol):
    """Callable that builds the headers of a request to another router."""

    def __call__(
        self,
        request: CallerRequest,
        *,
        remaining_ms: int,
        resume_after: int | None,
        stream_id: str,
        text_version: int,
        grant: ServerGrant,
        proof: str,
    ) -> Headers:
        """Return the headers."""


@frozen(kw_only=True)
class PlatformBinding:
    """Adapter between the platform's protocol and the gateway.

    Parameters
    ----------
    readiness_path : bytes
        Path of the balancer's readiness checks.
    decode_item : callable
        Decodes a store item from its key and value.
    is_operator_item : callable
        Returns whether operators write the item with a key.
    read_request, read_answer : callable
        Extract metadata from the headers of a request and of an answer.
    is_server_answer : callable
        Returns whether a backend server itself has sent an answer.
    server_headers : callable
        Builds the headers of a request to a backend server.
    echo_headers : callable
        Builds the headers of an answer that name its request, given the request's ID.
    read_peer_answer : callable
        Extracts metadata from the headers of an answer of another router.
    peer_headers : callable
        Builds the headers of a request to another router.
    read_peer_events : callable
        Splits events of another router into those for the caller and what it tells.
    grant_headers, grant_event : callable
        Build the headers, or the part of a stream, that tell another router about the
        servers of a request.
    cache_request : callable
        Builds the request for the prompt parts that an engine has cached.
    read_cache : callable
        Decodes the answer to it; raises `CacheAnswerError`.
    health_request : callable
        Builds the request for the health of a server, given its path.
    read_cold_ms : callable
        Reads from the head of its answer how long the server stays cold, in
        milliseconds; None if it does not say.
    statement_request : callable
        Builds the request for what a server states about its own process.
    read_statement : callable
        Returns the start time that the answer states, in Unix milliseconds; raises
        `StatementError`.
    store : BaseStoreClient
        Client of the store.
    """

    readiness_path: bytes
    decode_item: Callable[[str, bytes], CatalogItem]
    is_operator_item: Callable[[str], bool]
    read_request: Callable[[CallerRequest], RequestMetadata]
    read_answer: Callable[[AnswerHead], AnswerMetadata]
    is_server_answer: Callable[[AnswerHead], bool]
    server_headers: ServerHeaders
    echo_headers: Callable[[str], Headers]
    read_peer_answer: Callable[[AnswerHead], AnswerMetadata]
    peer_headers: PeerHeaders
    read_peer_events: Callable[[bytes], tuple[bytes, ServerGrant | None]]
    grant_headers: Callable[[ServerGrant], Headers]
    grant_event: Callable[[ServerGrant], bytes]
    cache_request: Callable[[BackendServer], OutgoingRequest]
    read_cache: Callable[[AnswerHead, bytes], CacheContent]
    health_request: Callable[[BackendServer, str], OutgoingRequest]
    read_cold_ms: Callable[[AnswerHead, BackendServer], int | None]
    statement_request: Callable[[BackendServer], OutgoingRequest]
    read_statement: Callable[[AnswerHead, bytes], int]
    store: BaseStoreClient

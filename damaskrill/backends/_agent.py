"""HTTP agent that distinguishes failed connection attempts from later failures.

A request whose connection could not be opened has certainly not been sent, so that it
may be retried even if it is not idempotent.
"""

from typing import Any

from twisted.internet import defer
from twisted.internet.endpoints import HostnameEndpoint
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.python.failure import Failure
from twisted.web.client import URI, Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from damaskrill.backends._errors import BackendUnreachableError

__all__ = ["build_agent", "build_pool"]

MAX_IDLE_CONNECTIONS_PER_HOST = 32
IDLE_CONNECTION_TIMEOUT_S = 20


@implementer(IStreamClientEndpoint)
class _TypedErrorEndpoint:
    """Endpoint that reports every failed connection attempt with one error type."""

    def __init__(self, endpoint: Any, address: str) -> None:
        self._endpoint = endpoint
        self._address = address

    def connect(self, factory: Any) -> defer.Deferred[Any]:
        """Connect; a failure is always a ``BackendUnreachableError``."""
        connecting: defer.Deferred[Any] = self._endpoint.connect(factory)
        connecting.addErrback(self._raise_unreachable)
        return connecting

    def _raise_unreachable(self, failure: Failure) -> None:
        reason = failure.getErrorMessage()
        raise BackendUnreachableError(address=self._address, reason=reason)


@implementer(IAgentEndpointFactory)
class _TypedErrorEndpointFactory:
    def __init__(self, reactor: Any, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: URI) -> _TypedErrorEndpoint:
        """Return the endpoint of a backend server's URL."""
        host = uri.host.decode("ascii")
        endpoint = HostnameEndpoint(
            self._reactor, host, uri.port, timeout=self._connect_timeout_s
        )
        return _TypedErrorEndpoint(endpoint, f"{host}:{uri.port}")


def build_pool(reactor: Any, *, persistent: bool) -> HTTPConnectionPool:
    """Build a connection pool.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    persistent : bool
        Whether connections are reused. A request that must not be retried needs a
        new connection, since the server may be closing an idle one.
    """
    pool = HTTPConnectionPool(reactor, persistent=persistent)
    pool.retryAutomatically = False
    pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS_PER_HOST
    pool.cachedConnectionTimeout = IDLE_CONNECTION_TIMEOUT_S
    return pool


def build_agent(
    reactor: Any, pool: HTTPConnectionPool, *, connect_timeout_ms: int
) -> Agent:
    """Build an HTTP agent on top of a connection pool.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    pool : HTTPConnectionPool
        Connection pool.
    connect_timeout_ms : int
        Connection timeout in milliseconds.
    """
    factory = _TypedErrorEndpointFactory(reactor, connect_timeout_ms / 1_000)
    return Agent.usingEndpointFactory(reactor, factory, pool=pool)

"""HTTP/1.1 connections from callers and to backend servers."""

from damaskrill.http1._caller import CallerConnection
from damaskrill.http1._caller_factory import CallerConnectionFactory
from damaskrill.http1._errors import InvalidAnswerError
from damaskrill.http1._fetch import fetch
from damaskrill.http1._messages import (
    AnswerHead,
    AnswerSink,
    CallerRequest,
    ExchangeFailure,
    FailureKind,
    Headers,
    OutgoingRequest,
    forwarded_headers,
)
from damaskrill.http1._pool import PoolLimits, ServerPool
from damaskrill.http1._server import ServerConnection, connect

__all__ = [
    "AnswerHead",
    "AnswerSink",
    "CallerConnection",
    "CallerConnectionFactory",
    "CallerRequest",
    "ExchangeFailure",
    "FailureKind",
    "Headers",
    "InvalidAnswerError",
    "OutgoingRequest",
    "PoolLimits",
    "ServerConnection",
    "ServerPool",
    "connect",
    "fetch",
    "forwarded_headers",
]

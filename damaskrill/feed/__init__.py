"""Replica of the platform's store, which readers update and routers share."""

from damaskrill.feed._comparison import NO_DIGEST, ReplicaComparison
from damaskrill.feed._errors import (
    HistoryExpiredError,
    StoreAnswerError,
    StoreOutdatedError,
    StoreRefusedError,
    StoreRestoredError,
    StoreUnreachableError,
)
from damaskrill.feed._freshness import Contact, Freshness
from damaskrill.feed._history import ServerChanges, read_history
from damaskrill.feed._position import START, Position
from damaskrill.feed._reader import (
    STARTUP_BACKOFF_MS,
    BaseStoreClient,
    FeedReader,
    Page,
)
from damaskrill.feed._replica import Change, FeedReplica, ListedChanges

__all__ = [
    "NO_DIGEST",
    "START",
    "STARTUP_BACKOFF_MS",
    "BaseStoreClient",
    "Change",
    "Contact",
    "FeedReader",
    "FeedReplica",
    "Freshness",
    "HistoryExpiredError",
    "ListedChanges",
    "Page",
    "Position",
    "ReplicaComparison",
    "ServerChanges",
    "StoreAnswerError",
    "StoreOutdatedError",
    "StoreRefusedError",
    "StoreRestoredError",
    "StoreUnreachableError",
    "read_history",
]

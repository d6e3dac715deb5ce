"""Replica of the platform's store, which readers update and routers share."""

from damaskrill.feed._errors import (
    HistoryExpiredError,
    StoreAnswerError,
    StoreRefusedError,
    StoreUnreachableError,
)
from damaskrill.feed._freshness import Freshness
from damaskrill.feed._reader import (
    STARTUP_BACKOFF_MS,
    BaseStoreClient,
    FeedReader,
    Page,
)
from damaskrill.feed._replica import Change, FeedReplica

__all__ = [
    "STARTUP_BACKOFF_MS",
    "BaseStoreClient",
    "Change",
    "FeedReader",
    "FeedReplica",
    "Freshness",
    "HistoryExpiredError",
    "Page",
    "StoreAnswerError",
    "StoreRefusedError",
    "StoreUnreachableError",
]

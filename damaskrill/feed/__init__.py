"""Copy of the platform's store, kept by its readers and passed on between routers."""

from damaskrill.feed._copy import Change, FeedCopy
from damaskrill.feed._errors import (
    HistoryGoneError,
    StoreAnswerError,
    StoreRefusedError,
    StoreUnreachableError,
)
from damaskrill.feed._freshness import Freshness
from damaskrill.feed._reader import (
    START_BACKOFF_MS,
    BaseStoreClient,
    FeedReader,
    Page,
)

__all__ = [
    "START_BACKOFF_MS",
    "BaseStoreClient",
    "Change",
    "FeedCopy",
    "FeedReader",
    "Freshness",
    "HistoryGoneError",
    "Page",
    "StoreAnswerError",
    "StoreRefusedError",
    "StoreUnreachableError",
]

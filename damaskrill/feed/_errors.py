"""Errors of calls to the platform's store."""

from damaskrill.exceptions import DamaskrillError

__all__ = [
    "HistoryExpiredError",
    "StoreAnswerError",
    "StoreRefusedError",
    "StoreUnreachableError",
]


class StoreUnreachableError(DamaskrillError):
    """The store gave no answer."""

    code = "store_unreachable"
    template = "the platform's store gave no answer: {reason}"


class StoreRefusedError(DamaskrillError):
    """The store answered that it does nothing for this router now."""

    code = "store_refused"
    template = "the platform's store refused the call with status {status}"


class HistoryExpiredError(DamaskrillError):
    """The changes after a revision are no longer kept."""

    code = "store_history_gone"
    template = "the platform's store no longer has the changes after {revision}"


class StoreAnswerError(DamaskrillError):
    """The store's answer cannot be read."""

    code = "store_answer_unreadable"
    template = "the answer of the platform's store cannot be read: {reason}"

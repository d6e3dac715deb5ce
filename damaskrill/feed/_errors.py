"""Errors of calls to the platform's store."""

from damaskrill.exceptions import DamaskrillError

__all__ = [
    "HistoryExpiredError",
    "StoreAnswerError",
    "StoreOutdatedError",
    "StoreRefusedError",
    "StoreRestoredError",
    "StoreUnreachableError",
]


class StoreUnreachableError(DamaskrillError):
    """The store did not answer."""

    code = "store_unreachable"
    template = "the platform's store did not answer: {reason}"


class StoreRefusedError(DamaskrillError):
    """The store refused the call."""

    code = "store_refused"
    template = "the platform's store refused the call with status {status}"


class HistoryExpiredError(DamaskrillError):
    """The store no longer retains the changes after a revision."""

    code = "store_history_gone"
    template = "the platform's store no longer has the changes after {revision}"


class StoreAnswerError(DamaskrillError):
    """The store's answer cannot be decoded."""

    code = "store_answer_unreadable"
    template = "the answer of the platform's store cannot be decoded: {reason}"


class StoreRestoredError(DamaskrillError):
    """The store has been restored from a copy since the last call."""

    code = "store_restored"
    template = "the platform's store has been restored from a copy and is in era {era}"


class StoreOutdatedError(DamaskrillError):
    """The store's answer is older than what is already known."""

    code = "store_answer_outdated"
    template = "the store's answer of era {era} is older than the replica"

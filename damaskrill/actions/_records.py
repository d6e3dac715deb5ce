"""Bounded store of the actions that this process has run or refused."""

from collections import OrderedDict
from collections.abc import Iterator

import attrs

from damaskrill.actions._waiters import Waiter
from damaskrill.messages import Outcome

__all__ = ["RecordStore", "StoredAction"]

RECORD_RETENTION_MS = 86_400_000
MAX_RECORDS = 65_536
# Capacity reserved for refused actions, so that every refusal can be recorded.
REFUSAL_RESERVE_PERCENT = 10


@attrs.define(kw_only=True)
class StoredAction:
    """Record of one action.

    Parameters
    ----------
    record_key : str
        The permit, or service, team and idempotency key.
    request_id : str
        Request that used the permit or key.
    since_ms : int
        Time of that use, in milliseconds.
    executor_id : str
        Member ID of the process that runs the action.
    outcome : Outcome or None
        Outcome; None while the action runs.
    waiters : list of Waiter
        Receivers of the outcome.
    """

    record_key: str
    request_id: str
    since_ms: int
    executor_id: str
    outcome: Outcome | None = None
    waiters: list[Waiter] = attrs.field(factory=list)


class RecordStore:
    """Action records in order of age, each retained for the full retention time.

    Parameters
    ----------
    max_records : int
        Capacity; new actions are refused at this number of records, less the reserve
        for refusals.
    retention_ms : int
        Retention time of a record, in milliseconds.
    """

    def __init__(
        self,
        *,
        max_records: int = MAX_RECORDS,
        retention_ms: int = RECORD_RETENTION_MS,
    ) -> None:
        self._max_records = max_records
        self._retention_ms = retention_ms
        self._records: OrderedDict[str, StoredAction] = OrderedDict()
        self._running: list[StoredAction] = []

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[StoredAction]:
        return iter(self._records.values())

    @property
    def retention_ms(self) -> int:
        """Retention time of a record, in milliseconds."""
        return self._retention_ms

    @property
    def is_full(self) -> bool:
        """Whether no further action may be run."""
        reserve = self._max_records * REFUSAL_RESERVE_PERCENT // 100
        return len(self._records) >= self._max_records - reserve

    @property
    def is_exhausted(self) -> bool:
        """Whether the reserve is used up, so that no refusal can be recorded."""
        return len(self._records) >= self._max_records

    def get(self, record_key: str) -> StoredAction | None:
        """Return the record of an action, if there is one."""
        return self._records.get(record_key)

    def add(self, record: StoredAction) -> None:
        """Add a record unless the action already has one."""
        self._records.setdefault(record.record_key, record)
        if record.outcome is None:
            self._running.append(record)

    def running(self) -> list[StoredAction]:
        """Return the actions that have not ended."""
        self._running = [each for each in self._running if each.outcome is None]
        return list(self._running)

    def purge_expired(self, now_ms: int) -> None:
        """Remove ended actions older than the retention time."""
        while self._records:
            oldest = next(iter(self._records.values()))
            expired = now_ms - oldest.since_ms > self._retention_ms
            if not expired or oldest.outcome is None:
                return
            del self._records[oldest.record_key]

"""Bounded memory of the actions that this process has run or refused."""

from collections import OrderedDict
from collections.abc import Iterator

import attrs

from damaskrill.actions._waiters import Waiter
from damaskrill.messages import Outcome

__all__ = ["RecordStore", "StoredAction"]

RECORD_RETENTION_MS = 86_400_000
MAX_RECORDS = 65_536
# Kept back for actions that are refused, so that each refusal can be remembered.
REFUSAL_RESERVE_PERCENT = 10


@attrs.define(kw_only=True)
class StoredAction:
    """One action; ``outcome`` is None while it runs.

    Parameters
    ----------
    record_key : str
        The permit, or service, team and idempotency key.
    request_id : str
        Request that spent it.
    since_ms : int
        When, in milliseconds.
    executor_id : str
        Member ID of the process that runs it.
    outcome : Outcome or None
        How it ended.
    waiters : list of Waiter
        Who is to be told.
    """

    record_key: str
    request_id: str
    since_ms: int
    executor_id: str
    outcome: Outcome | None = None
    waiters: list[Waiter] = attrs.field(factory=list)


class RecordStore:
    """Records in the order of their age, none forgotten before its time.

    Parameters
    ----------
    max_records : int
        When that many are held, new actions must be refused.
    retention_ms : int
        How long a record is kept, in milliseconds.
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
        """How long a record is kept, in milliseconds."""
        return self._retention_ms

    @property
    def is_full(self) -> bool:
        """Whether no further action may be run."""
        reserve = self._max_records * REFUSAL_RESERVE_PERCENT // 100
        return len(self._records) >= self._max_records - reserve

    @property
    def is_exhausted(self) -> bool:
        """Whether not even a refusal can be recorded."""
        return len(self._records) >= self._max_records

    def get(self, record_key: str) -> StoredAction | None:
        """Return the record of an action, if there is one."""
        return self._records.get(record_key)

    def add(self, record: StoredAction) -> None:
        """Add a record; a record of the same action stays."""
        self._records.setdefault(record.record_key, record)
        if record.outcome is None:
            self._running.append(record)

    def running(self) -> list[StoredAction]:
        """Return the actions that have not ended."""
        self._running = [each for each in self._running if each.outcome is None]
        return list(self._running)

    def purge_expired(self, now_ms: int) -> None:
        """Forget what is older than the retention time and has ended."""
        while self._records:
            oldest = next(iter(self._records.values()))
            expired = now_ms - oldest.since_ms > self._retention_ms
            if not expired or oldest.outcome is None:
                return
            del self._records[oldest.record_key]

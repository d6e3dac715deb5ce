"""Hand-over of action records during a graceful stop."""

from collections.abc import Sequence

from damaskrill.actions._key_ownership import KeyOwnership
from damaskrill.actions._records import StoredAction
from damaskrill.messages import ActionRecord, RecordsHandedOver, SendToPeer

__all__ = ["build_hand_over"]

MAX_RECORDS_PER_MESSAGE = 64


def build_hand_over(
    *,
    records: Sequence[StoredAction],
    ownership: KeyOwnership,
    complete_for_ms: int,
    now_ms: int,
) -> list[SendToPeer]:
    """Build the messages that transfer records to their new owners.

    Parameters
    ----------
    records : sequence of StoredAction
        Records to hand over.
    ownership : KeyOwnership
        Ownership of keys after this process has released its own.
    complete_for_ms : int
        Period before now for which these are all records of this process's keys, in
        milliseconds; 0 if other records are handed over separately.
    now_ms : int
        Current time in milliseconds.

    Returns
    -------
    list of SendToPeer
        One or more for every listed router if the hand-over is complete; otherwise
        only for the new owners.
    """
    by_owner: dict[str, list[ActionRecord]] = {}
    if complete_for_ms:
        by_owner = {address: [] for address in ownership.listed}
    for record in records:
        owner = ownership.owner_address(record.record_key)
        if owner:
            by_owner.setdefault(owner, []).append(_to_message(record, now_ms))
    messages: list[SendToPeer] = []
    for address, owned in by_owner.items():
        batches = _split(owned)
        for batch in batches:
            payload = RecordsHandedOver(
                records=batch,
                complete_for_ms=complete_for_ms,
                n_records=len(owned),
                listed_digest=ownership.listed_digest,
            )
            messages.append(SendToPeer(address=address, payload=payload))
    return messages


def _to_message(record: StoredAction, now_ms: int) -> ActionRecord:
    return ActionRecord(
        record_key=record.record_key,
        request_id=record.request_id,
        age_ms=now_ms - record.since_ms,
        outcome=record.outcome,
    )


def _split(records: list[ActionRecord]) -> list[tuple[ActionRecord, ...]]:
    size = MAX_RECORDS_PER_MESSAGE
    batches = [tuple(records[n : n + size]) for n in range(0, len(records), size)]
    return batches or [()]

"""Evidence that connections lead to the processes which the store lists."""

from collections.abc import Container

from attrs import define, field, frozen

__all__ = ["IncarnationProofs"]

ServerKey = tuple[str, int]


@frozen(kw_only=True)
class _Proof:
    """Times between which opened connections lead to one process.

    Parameters
    ----------
    started_at_ms : int
        Start time of the process, in Unix milliseconds.
    from_ms, until_ms : float
        The times, on the monotonic clock in milliseconds.
    """

    started_at_ms: int
    from_ms: float
    until_ms: float


@define(kw_only=True, eq=False)
class IncarnationProofs:
    """What servers have stated about the start of their process.

    Notes
    -----
    Load pattern: servers are upgraded in place while the store is away. Each starts
    again under its ID and address, at another software version, and its entry still
    names the former process.

    A process that states its start time has run since then. All connections to its
    address that were opened before it was asked lead to it. If it is not the listed
    one, when it began to accept connections is not known: only those count that were
    opened after it was known.
    """

    _proofs: dict[ServerKey, _Proof] = field(factory=dict, init=False)

    def record_statement(
        self, key: ServerKey, started_at_ms: int, asked_at_ms: float
    ) -> bool:
        """Record what a server has stated; return whether its process is new.

        Parameters
        ----------
        key : tuple of (str, int)
            ID and start time by which the server is listed.
        started_at_ms : int
            Start time that it has stated, in Unix milliseconds.
        asked_at_ms : float
            Time at which it was asked, in milliseconds.
        """
        known = self._proofs.get(key)
        known_start_ms = key[1] if known is None else known.started_at_ms
        is_new = started_at_ms != known_start_ms
        from_ms = asked_at_ms
        if not is_new:
            from_ms = float("-inf") if known is None else known.from_ms
        self._proofs[key] = _Proof(
            started_at_ms=started_at_ms, from_ms=from_ms, until_ms=asked_at_ms
        )
        return is_new

    def is_proven(self, key: ServerKey, opened_at_ms: float) -> bool:
        """Return whether a connection leads to the process that is known."""
        proof = self._proofs.get(key)
        return proof is not None and proof.from_ms <= opened_at_ms <= proof.until_ms

    def is_replaced(self, key: ServerKey) -> bool:
        """Return whether another process than the listed one has been met."""
        proof = self._proofs.get(key)
        return proof is not None and proof.started_at_ms != key[1]

    def purge(self, listed: Container[ServerKey]) -> None:
        """Forget servers that are not listed any more."""
        for key in [each for each in self._proofs if each not in listed]:
            del self._proofs[key]

"""Decides whether a router has a path to the backend servers at all."""

from collections.abc import Iterable

__all__ = ["ServerPath"]

NEVER_MS = float("-inf")
# Servers that must fail without an answer from any: one alone may be at fault itself.
MIN_FAILED_SERVERS = 2


class ServerPath:
    """Evidence on the path from this router to the backend servers.

    Notes
    -----
    Load pattern: some routers are partitioned from all servers while callers, the store
    and the other routers still reach them.

    The path counts as cut if at least two servers have failed without an answer from
    any server since, although other routers report answers of failed servers of the
    same time, or get one for a request that this router has sent through them: servers
    that state no load are in no report. Only a later answer of a server shows that the
    path is back: a proxy may accept connections that lead nowhere.
    """

    def __init__(self) -> None:
        self._failed_at_ms: dict[int, float] = {}
        self._peers_heard_at_ms: dict[int, float] = {}
        self._is_cut = False

    @property
    def is_cut(self) -> bool:
        """Whether no server can be reached from here."""
        return self._is_cut

    @property
    def is_suspected(self) -> bool:
        """Whether several servers have failed that other routers do not report on."""
        return (
            not self._is_cut
            and len(self._failed_at_ms) >= MIN_FAILED_SERVERS
            and not self._failed_at_ms.keys() & self._peers_heard_at_ms.keys()
        )

    def record_relayed(self) -> bool:
        """Record that a peer has got an answer; return whether the path is now cut."""
        if not self.is_suspected:
            return False
        self._is_cut = True
        return True

    def record_heard(self) -> bool:
        """Record an answer of a server; return whether the path is back."""
        was_cut, self._is_cut = self._is_cut, False
        if self._failed_at_ms:
            self._failed_at_ms.clear()
        return was_cut

    def record_failure(self, server: int, now_ms: float) -> bool:
        """Record that a server did not respond; return whether the path is now cut.

        Parameters
        ----------
        server : int
            Short hash of the server's incarnation.
        now_ms : float
            Current time in milliseconds.
        """
        self._failed_at_ms.setdefault(server, now_ms)
        return self._evaluate()

    def record_peer_answers(
        self, answers: Iterable[tuple[int, float]], now_ms: float
    ) -> bool:
        """Record answers that other routers got; return whether the path is now cut.

        Parameters
        ----------
        answers : iterable of (int, float)
            Short hash of each server's incarnation, and the age of its answer in
            milliseconds.
        now_ms : float
            Current time in milliseconds.
        """
        for server, age_ms in answers:
            self._peers_heard_at_ms[server] = max(
                now_ms - age_ms, self._peers_heard_at_ms.get(server, NEVER_MS)
            )
        return bool(self._failed_at_ms) and self._evaluate()

    def retain_only(self, servers: set[int]) -> None:
        """Discard all other incarnations."""
        for known in (self._failed_at_ms, self._peers_heard_at_ms):
            for server in known.keys() - servers:
                del known[server]

    def _evaluate(self) -> bool:
        if self._is_cut or len(self._failed_at_ms) < MIN_FAILED_SERVERS:
            return False
        self._is_cut = any(
            self._peers_heard_at_ms.get(server, NEVER_MS) > failed_at_ms
            for server, failed_at_ms in self._failed_at_ms.items()
        )
        return self._is_cut

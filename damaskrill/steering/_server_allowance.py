"""Number of backend servers that one request may reach, over all routers."""

from attrs import frozen

__all__ = ["UNKNOWN_SENDER_GRANT", "ServerAllowance", "ServerGrant"]

# Until the route of a request is known.
NO_LIMIT = 1_000_000


@frozen(kw_only=True)
class ServerGrant:
    """What one router tells another about the servers of a request.

    Parameters
    ----------
    n_left : int
        Number of further servers that the request may reach.
    reached : tuple of int
        Short hashes of the servers that it has reached.
    """

    n_left: int
    reached: tuple[int, ...] = ()


# A router of an earlier build grants nothing, and counts each router that it sends a
# request to as one server.
UNKNOWN_SENDER_GRANT = ServerGrant(n_left=1)


class ServerAllowance:
    """Counts the servers that a request reaches, also through other routers.

    Parameters
    ----------
    grant : ServerGrant or None, default=None
        What the router that sent the request has granted; None if a caller sent it.

    Notes
    -----
    Load pattern: servers fail many requests while some routers have no path to them. If
    each router counted for itself, a request would reach up to the square of its limit.

    What is left goes to one peer at a time, which says in its answer what it has spent.
    A peer of which this is not known has spent all of it.
    """

    def __init__(self, *, grant: ServerGrant | None = None) -> None:
        self._reached = set(grant.reached if grant else ())
        self._limit = len(self._reached) + (grant.n_left if grant else NO_LIMIT)
        self._given_limit = self._limit
        self._n_lent = 0

    @property
    def limit(self) -> int:
        """Number of servers that the request might reach in all when it arrived."""
        return self._given_limit

    @property
    def n_spent(self) -> int:
        """Number of servers that it has reached, or may have reached."""
        return len(self._reached) + self._n_lent

    @property
    def n_left(self) -> int:
        """Number of further servers that it may reach."""
        return max(0, self._limit - self.n_spent)

    @property
    def reached(self) -> frozenset[int]:
        """Short hashes of the servers that it is known to have reached."""
        return frozenset(self._reached)

    def restrict(self, max_servers: int) -> None:
        """Apply the limit of the request's route, before the first server."""
        self._given_limit = self._limit = min(self._limit, max_servers)

    def record_sent(self, server: int) -> None:
        """Record that the request is sent to a server, given its short hash."""
        self._reached.add(server)

    def may_lend(self, *, keeps_grants: bool) -> bool:
        """Return whether a peer may get the request.

        Parameters
        ----------
        keeps_grants : bool
            Whether the peer keeps to what it is granted. One that does not reaches as
            many servers as the route allows.
        """
        return self.n_left > 0 and (keeps_grants or not self._reached)

    def lend(self) -> ServerGrant:
        """Grant all that is left to a peer; until `settle`, nothing is left here."""
        grant = self.report()
        self._n_lent = self.n_left
        return grant

    def settle(self, report: ServerGrant | None) -> None:
        """Take back what a peer has not spent.

        Parameters
        ----------
        report : ServerGrant or None
            What the peer has told in the end; None if it is not known.
        """
        if report is None:
            return
        self._reached.update(report.reached)
        self._n_lent = 0
        self._limit = min(self._limit, len(self._reached) + report.n_left)

    def exhaust(self) -> None:
        """Allow no further server at any router."""
        self._limit = self.n_spent

    def report(self) -> ServerGrant:
        """Return what is left and which servers the request has reached."""
        return ServerGrant(n_left=self.n_left, reached=tuple(sorted(self._reached)))

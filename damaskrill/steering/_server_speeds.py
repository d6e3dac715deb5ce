"""How long work takes at each backend server now, from what servers state."""

import math
from collections.abc import Iterable

from attrs import define

from damaskrill.steering._server_load import ServerLoad
from damaskrill.steering._server_paces import ServerPaces

__all__ = ["MAX_SLOWNESS", "ServerSpeeds", "SpeedFigure"]

# Time after which a stated figure says half as much: it changes several times a second
# (the users' page; about every 600 ms where it was measured), so that after a random
# part of that time it is as likely to hold as not.
HALF_LIFE_MS = 300.0
# Time that one figure stands for in a server's mean, until the next one.
MAX_FIGURE_MS = 600.0
# Half-life of a server's mean. It differs between servers because of their hosts, which
# stay the same for a server's life; neighbours on the host change more often.
MEAN_HALF_LIFE_MS = 30_000.0
# The usual time, which the mean starts from, counts like this many figures.
N_USUAL_FIGURES = 2
# Work does not take so many times its usual time: a larger figure is wrong.
MAX_SLOWNESS = 100.0
# A server that states less is taken for this: no neighbour gives a host more than it
# has, and until the times of its answers show it, most requests would go there.
MIN_SLOWNESS = 0.5
# The usual time is that on a host without neighbours: a figure below a tenth is wrong.
MIN_STATED_SLOWNESS = 0.1
# What servers state of usual work.
USUAL = 1.0


@define
class SpeedFigure:
    """What a server stated last, and its mean.

    Parameters
    ----------
    slowness : float
        How long work takes there, relative to the usual time.
    at_ms : float
        Time at which the server stated it, in milliseconds.
    sum_ms, weight_ms : float
        Sum of the figures by the time that each stands for, and that time.
    """

    slowness: float
    at_ms: float
    sum_ms: float = USUAL * N_USUAL_FIGURES * MAX_FIGURE_MS
    weight_ms: float = N_USUAL_FIGURES * MAX_FIGURE_MS

    @property
    def mean(self) -> float:
        """Mean of the figures over the last half minute or so."""
        return self.sum_ms / self.weight_ms

    def add(self, slowness: float, at_ms: float) -> None:
        """Add a newer figure."""
        gap_ms = at_ms - self.at_ms
        kept = math.exp2(-gap_ms / MEAN_HALF_LIFE_MS)
        held_ms = min(gap_ms, MAX_FIGURE_MS)
        self.sum_ms = kept * self.sum_ms + held_ms * self.slowness
        self.weight_ms = kept * self.weight_ms + held_ms
        self.slowness, self.at_ms = slowness, at_ms


class ServerSpeeds:
    """How long work takes at each server now.

    Notes
    -----
    Handles servers that share hosts and turn slow for a part of a second, before many
    routers that each send a few requests a second: the last figure that a router has is
    often as old as the next change. A figure counts less the older it is, and what is
    left counts as the server's own mean, since servers also differ for good. A server
    is named by the short hash of its incarnation, as in reports of other routers.

    Attributes
    ----------
    paces : ServerPaces
        How much longer servers take than they state.
    """

    def __init__(self) -> None:
        self.paces = ServerPaces()
        self._figures: dict[int, SpeedFigure] = {}

    def observe(
        self, server: int, load: ServerLoad, now_ms: float, age_ms: float = 0.0
    ) -> bool:
        """Record what a server stated.

        Parameters
        ----------
        server : int
            Short hash of the server's incarnation.
        load : ServerLoad
            The stated load.
        now_ms : float
            Current time in milliseconds.
        age_ms : float, default=0.0
            Time since the server stated it, in milliseconds.

        Returns
        -------
        bool
            False if it was ignored: there is no such figure, it cannot be right, or a
            newer one is known.
        """
        slowness = load.slowness
        if slowness is None or not MIN_STATED_SLOWNESS <= slowness <= MAX_SLOWNESS:
            return False
        slowness = max(MIN_SLOWNESS, slowness)
        at_ms = now_ms - max(0.0, age_ms)
        figure = self._figures.get(server)
        if figure is None:
            self._figures[server] = SpeedFigure(slowness, at_ms)
            return True
        if at_ms <= figure.at_ms:
            return False
        figure.add(slowness, at_ms)
        return True

    def slowness(self, server: int, now_ms: float) -> float:
        """Return how long work takes at a server now, relative to the usual time."""
        figure = self._figures.get(server)
        if figure is None:
            return USUAL
        share = math.exp2(-max(0.0, now_ms - figure.at_ms) / HALF_LIFE_MS)
        return figure.mean + share * (figure.slowness - figure.mean)

    def observe_duration(self, server: int, duration_ms: float) -> None:
        """Record how long a server's answer took, after what it stated in it."""
        figure = self._figures.get(server)
        if figure is not None:
            self.paces.observe(server, duration_ms, figure.slowness)

    def mean(self, server: int) -> float:
        """Return how long work takes at a server on average."""
        figure = self._figures.get(server)
        return USUAL if figure is None else figure.mean

    def age_ms(self, server: int, now_ms: float) -> float | None:
        """Return the age of a server's last figure; None if there is none."""
        figure = self._figures.get(server)
        return None if figure is None else now_ms - figure.at_ms

    def is_stated(self, servers: Iterable[int]) -> bool:
        """Return whether some of the servers states how long work takes."""
        return any(each in self._figures for each in servers)

    def forget(self, server: int) -> None:
        """Discard a server's figures."""
        self._figures.pop(server, None)

    def retain_only(self, servers: set[int]) -> None:
        """Discard the figures of all other servers."""
        for server in list(self._figures):
            if server not in servers:
                del self._figures[server]
        self.paces.retain_only(servers)

"""Choice of an engine by data centre, cached parts, speed, and room."""

import math
from collections.abc import Callable, Mapping, Sequence
from random import Random

from attrs import frozen

from damaskrill.catalog import BackendServer
from damaskrill.steering._load_bounds import LoadBounds

__all__ = ["EngineChoice", "EngineFigures"]

# One in so many requests whose shared parts only engines elsewhere hold is sent to an
# engine of the router's own data centre, which copies them: parts in frequent use get a
# home in each data centre, the others are not copied for nothing.
HOME_INTERVAL = 40
# Weight of a request at an engine, as a power of the slowness there. Engines with the
# same work (1) have pauses that are longer by the slowness; engines with the same
# pauses (2) crowd the others.
SLOWNESS_POWER = 1.5


@frozen(kw_only=True)
class EngineFigures:
    """What is known of the engines of a service that state their load and speed.

    Parameters
    ----------
    slowness : callable
        Returns how long work takes at an engine now, relative to the usual time.
    n_unread : callable
        Returns the prompt tokens that an engine is known to have still to read.
    fits : callable
        Returns whether an engine's memory bears the request beside what runs there,
        given the number of requests there.
    """

    slowness: Callable[[BackendServer], float]
    n_unread: Callable[[BackendServer], int]
    fits: Callable[[BackendServer, float], bool]


class EngineChoice:
    """Chooses an engine among those that may get a request.

    Parameters
    ----------
    own_data_centre : str
        Data centre of this router.
    random_state : Random
        Source of randomness.

    Notes
    -----
    Handles a service of some thirty engines in four data centres before some hundred
    routers: most requests crossed data centres, as each part had a single home, and
    engines that had turned slow got as many streams as the others, so that their
    events paused while prompts were read between them.

    Engines that hold the shared parts come first, those of the own data centre before
    the others. A key that needs several engines is spread over its part of those of the
    own data centre. An engine is passed over when the number of its requests is above
    the bound, or this number with the weight of its slowness is.
    """

    def __init__(self, *, own_data_centre: str, random_state: Random) -> None:
        self._own_data_centre = own_data_centre
        self._random = random_state

    def choose(
        self,
        order: Sequence[BackendServer],
        *,
        figures: EngineFigures,
        loads: Mapping[str, float],
        bound: float,
        bounds: LoadBounds,
        n_primary: int,
        has_prefix: Callable[[BackendServer], bool],
    ) -> BackendServer:
        """Return the engine for a request.

        Parameters
        ----------
        order : sequence of BackendServer
            The engines in rendezvous order; at least one.
        figures : EngineFigures
            What is known of them.
        loads : mapping of str to float
            Estimated number of requests, by the engine's ID.
        bound : float
            Largest number of requests at an engine, including this one.
        bounds : LoadBounds
            Bounds relative to the mean.
        n_primary : int
            Number of engines over which the key is spread.
        has_prefix : callable
            Returns whether an engine has processed the last shared part.
        """
        weights = {
            each.server_id: figures.slowness(each) ** SLOWNESS_POWER for each in order
        }
        work = {name: loads[name] * weight for name, weight in weights.items()}
        mean_work = (sum(work.values()) + 1) / len(order)
        work_bound = bounds.addend + bounds.multiple * mean_work

        def is_within(engine: BackendServer) -> bool:
            name = engine.server_id
            is_loaded = loads[name] + 1 > bound
            return not is_loaded and work[name] + weights[name] <= work_bound

        def expected(engine: BackendServer) -> tuple[int, float]:
            return figures.n_unread(engine), work[engine.server_id]

        ranked = sorted(order, key=lambda each: not has_prefix(each))
        primary = self._find_primary(ranked, n_primary, has_prefix)
        self._random.shuffle(primary)
        # Loads are told late: the better of two random engines is tried first.
        primary[:2] = sorted(primary[:2], key=expected)
        chosen = {each.server_id for each in primary}
        others = [each for each in ranked if each.server_id not in chosen]
        within = None
        for engine in filter(is_within, primary + others):
            if figures.fits(engine, loads[engine.server_id]):
                return engine
            within = within or engine
        if within is not None:
            return within
        allowed = [each for each in ranked if loads[each.server_id] + 1 <= bound]
        return min(allowed or ranked, key=lambda each: work[each.server_id])

    def _find_primary(
        self,
        ranked: Sequence[BackendServer],
        n_primary: int,
        has_prefix: Callable[[BackendServer], bool],
    ) -> list[BackendServer]:
        here = [each for each in ranked if each.data_centre == self._own_data_centre]
        if not here:
            return list(ranked[:n_primary])
        if n_primary > 1:
            return here[: math.ceil(n_primary * len(here) / len(ranked))]
        is_elsewhere = has_prefix(ranked[0]) and not has_prefix(here[0])
        if has_prefix(here[0]) or (
            is_elsewhere and self._random.random() * HOME_INTERVAL < 1
        ):
            return here[:1]
        return list(ranked[:1])

"""Choice among plain servers that state how long work takes there."""

import math
from collections.abc import Sequence
from random import Random
from statistics import median_low

from attrs import frozen

from damaskrill.catalog import BackendServer
from damaskrill.steering._expected_time import expected_time_ms
from damaskrill.steering._failure_shares import FailureShares
from damaskrill.steering._gossip import short_server_id
from damaskrill.steering._loads import ServerLoads
from damaskrill.steering._server_speeds import ServerSpeeds

__all__ = ["ServerEstimate", "UnevenChoice"]

# Half-life of what a server stated of other routers' requests, towards the mean of the
# service: about twice the time of a request there (the users' pages: 22 to 90 ms).
OTHERS_HALF_LIFE_MS = 200.0
# How much a server without a free slot, whose number of requests is only estimated, is
# likelier to make a request wait than an idle one, as a fraction of its work.
UTILIZATION_WEIGHT = 1.0
# A server's weight is its expected time to this power, inverted: with figures as old as
# those told by other routers, and with figures of this moment. Routers that have the
# same old figures must not all go to the same server.
OLD_EXPONENT = 3.0
FRESH_EXPONENT = 64.0
# Age at which the exponent is halfway, about the time of a request there.
FIGURE_HALF_LIFE_MS = 60.0
MAX_FIGURE_AGE_MS = 2_000.0
# What a failure costs a caller, in times of the request's work: a second server's time
# if another one may follow, else as much as an answer after twice the target (targets
# are 4 to 7 times the work on the users' pages).
REPEATABLE_FAILURE_WORK = 2.0
LAST_FAILURE_WORK = 10.0
# Preference for the own data centre, as a fraction of the expected time: the way there
# and back takes 1 to 3 ms longer elsewhere, of 22 to 90 ms (the users' pages).
REMOTE_FRACTION = 0.03
# A server is passed over if its chance is below this fraction of an even one. One that
# stays so is told of once in this time.
PASSED_OVER_FRACTION = 0.25
TELL_INTERVAL_MS = 5_000.0
# With fresh figures the choice is not at random, so that its cost must also be this
# multiple of the least.
PASSED_OVER_COST = 1.5
# More servers than a plain service has (four to six on the users' pages).
MAX_TOLD = 256


@frozen(kw_only=True)
class ServerEstimate:
    """What a choice knew of one server.

    Parameters
    ----------
    server : BackendServer
        The server.
    n_ahead : float
        Estimated number of requests there.
    slowness : float
        How long work takes there now, relative to the usual time.
    failure_share : float
        Share of its requests that fail.
    cost : float
        Expected cost of a request, in times of its usual work.
    age_ms : float
        Age of the newest statement of its load, at most 2 s.
    """

    server: BackendServer
    n_ahead: float
    slowness: float
    failure_share: float
    cost: float
    age_ms: float

    @property
    def cause(self) -> str:
        """What adds most to the cost beyond an idle server of usual speed."""
        waiting = self.n_ahead / max(1, self.server.n_slots)
        causes = {
            "fails_requests": self.failure_share * LAST_FAILURE_WORK,
            "slow": self.slowness - 1,
            "loaded": self.slowness * waiting,
        }
        return max(causes, key=lambda each: causes[each])


class UnevenChoice:
    """Chooses the server where a request is expected to be done first.

    Parameters
    ----------
    loads : ServerLoads
        Number of requests at each server.
    speeds : ServerSpeeds
        How long work takes at each server.
    failures : FailureShares
        Share of its requests that each server fails.
    own_data_centre : str
        Data centre of this router.
    random_state : Random
        Source of randomness.

    Notes
    -----
    Handles few servers on shared hosts (a seventh of the time 2.5 times slower,
    changing each 0.6 s, 70 % load) behind 3 to 112 routers. A router of 112 sends about
    1.5 requests a second, and hears what others were told 0.3 to 1 s later. If all of
    them chose the least loaded server by the same old figures, they would overload it
    by turns, and serve callers worse than by choosing at random. Therefore what is old
    counts as the mean, and the choice is the more at random the older the figures are.
    """

    def __init__(
        self,
        *,
        loads: ServerLoads,
        speeds: ServerSpeeds,
        failures: FailureShares,
        own_data_centre: str,
        random_state: Random,
    ) -> None:
        self._loads = loads
        self._speeds = speeds
        self._failures = failures
        self._own_data_centre = own_data_centre
        self._random = random_state
        self._told_at_ms: dict[tuple[str, int], float] = {}
        self._passed_over: list[ServerEstimate] = []

    def take_passed_over(self) -> list[ServerEstimate]:
        """Return the servers that were passed over since the last call."""
        passed_over, self._passed_over = self._passed_over, []
        return passed_over

    def is_needed(self, servers: Sequence[BackendServer]) -> bool:
        """Return whether the servers state how long work takes there."""
        return self._speeds.is_stated(short_server_id(each.key) for each in servers)

    def choose(
        self,
        servers: Sequence[BackendServer],
        now_ms: float,
        *,
        all_servers: Sequence[BackendServer] = (),
        n_routers: int = 1,
        is_last: bool = False,
    ) -> BackendServer:
        """Return the server to send a request to.

        Parameters
        ----------
        servers : sequence of BackendServer
            Servers that may get it; at least one.
        now_ms : float
            Current time in milliseconds.
        all_servers : sequence of BackendServer, default=()
            All servers of the service; those that may get the request by default.
        n_routers : int, default=1
            Number of live routers.
        is_last : bool, default=False
            Whether no other server may follow if this one fails.
        """
        estimates = self.estimate(
            servers,
            now_ms,
            all_servers=all_servers,
            n_routers=n_routers,
            is_last=is_last,
        )
        # A server that is avoided for its failures must not make all figures old.
        age_ms = median_low(each.age_ms for each in estimates)
        exponent = OLD_EXPONENT + (FRESH_EXPONENT - OLD_EXPONENT) * math.exp2(
            -age_ms / FIGURE_HALF_LIFE_MS
        )
        least = min(each.cost for each in estimates)
        weights = [(least / each.cost) ** exponent for each in estimates]
        total = sum(weights)
        self._record_passed_over(estimates, weights, now_ms)
        self._failures.record_choice(
            {
                short_server_id(each.server.key): weight / total
                for each, weight in zip(estimates, weights, strict=True)
            },
            now_ms,
        )
        return self._random.choices(estimates, weights)[0].server

    def _record_passed_over(
        self,
        estimates: Sequence[ServerEstimate],
        weights: Sequence[float],
        now_ms: float,
    ) -> None:
        even = PASSED_OVER_FRACTION * sum(weights) / len(weights)
        for each, weight in zip(estimates, weights, strict=True):
            if weight >= even or each.cost < PASSED_OVER_COST * min(
                other.cost for other in estimates
            ):
                continue
            key = each.server.key
            if now_ms - self._told_at_ms.get(key, -math.inf) < TELL_INTERVAL_MS:
                continue
            if len(self._told_at_ms) >= MAX_TOLD:
                self._told_at_ms.clear()
            self._told_at_ms[key] = now_ms
            self._passed_over.append(each)

    def estimate(
        self,
        servers: Sequence[BackendServer],
        now_ms: float,
        *,
        all_servers: Sequence[BackendServer] = (),
        n_routers: int = 1,
        is_last: bool = False,
    ) -> list[ServerEstimate]:
        """Return what a choice knows of each server; parameters as of `choose`."""
        stated = [self._loads.stated_others(each.key) for each in servers]
        known = [n_others for n_others, at_ms in stated if at_ms > -math.inf]
        mean = sum(known) / len(known) if known else 0.0
        ids = [short_server_id(each.key) for each in all_servers or servers]
        shares = self._failures.find(ids, n_routers=n_routers, now_ms=now_ms)
        paces = self._speeds.paces.factors(ids)
        work = LAST_FAILURE_WORK if is_last else REPEATABLE_FAILURE_WORK
        estimates = []
        for server, (n_others, at_ms) in zip(servers, stated, strict=True):
            server_id = short_server_id(server.key)
            age_ms = min(MAX_FIGURE_AGE_MS, max(0.0, now_ms - at_ms))
            kept = math.exp2(-age_ms / OTHERS_HALF_LIFE_MS)
            n_ahead = self._loads.n_own(server.key) + mean + kept * (n_others - mean)
            slowness = self._speeds.slowness(server_id, now_ms)
            slowness *= paces.get(server_id, 1.0)
            share = shares.get(server_id, 0.0)
            time = expected_time_ms(
                n_ahead=n_ahead, n_slots=server.n_slots, slowness=slowness, work_ms=1.0
            )
            utilization = n_ahead / max(1, server.n_slots)
            cost = time + slowness * UTILIZATION_WEIGHT * utilization + share * work
            if server.data_centre != self._own_data_centre:
                cost *= 1 + REMOTE_FRACTION
            estimates.append(
                ServerEstimate(
                    server=server,
                    n_ahead=n_ahead,
                    slowness=slowness,
                    failure_share=share,
                    cost=cost,
                    age_ms=age_ms,
                )
            )
        return estimates

"""Emulated routers that use the real routing decisions and exchange reports."""

from collections.abc import Sequence
from enum import Enum
from random import Random

from attrs import define, field

from damaskrill.catalog import BackendServer
from damaskrill.experiment._plan import ExperimentPlan
from damaskrill.steering import (
    DIRECT_BOUNDS,
    MAX_DIRECT_ROUTERS,
    RELAYED_BOUNDS,
    Candidate,
    HotKeys,
    PrefixIndex,
    PromptPart,
    ServerLoads,
    ServerSelector,
)
from damaskrill.utils import rank_by_rendezvous

__all__ = ["EmulatedFleet", "EmulatedRouter", "Policy"]

# Key counts are exchanged in every second round only.
ROUNDS_PER_KEY_COUNTS = 2


class Policy(Enum):
    """How a router selects an engine."""

    PRODUCT = "product"
    NO_GOSSIP = "no_news"
    RENDEZVOUS = "rendezvous"
    LEAST_LOADED = "least_loaded"
    TWO_CHOICES = "two_choices"
    RANDOM = "random"


@define(kw_only=True, eq=False)
class EmulatedRouter:
    """One router with its view of loads, hot keys and cached prefixes.

    Parameters
    ----------
    policy : Policy
        How it selects engines.
    uses_relayed_bounds : bool
        Whether to apply the bounds for loads that are mostly relayed by other
        routers.
    random : Random
        Source of random choices.
    """

    policy: Policy
    uses_relayed_bounds: bool
    random: Random
    loads: ServerLoads = field(factory=ServerLoads)
    hot_keys: HotKeys = field(factory=HotKeys)
    prefix_index: PrefixIndex = field(factory=PrefixIndex)
    _selector: ServerSelector = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the server selector on the state of this router."""
        self._selector = ServerSelector(
            loads=self.loads,
            own_data_centre="",
            random_state=self.random,
            hot_keys=self.hot_keys,
        )

    def select(
        self,
        servers: Sequence[BackendServer],
        prompt: Sequence[PromptPart],
        now_ms: float,
    ) -> BackendServer:
        """Select the engine for a request."""
        key = prompt[-2].part_id
        match self.policy:
            case Policy.PRODUCT | Policy.NO_GOSSIP:
                selected = self._selector.select(
                    [Candidate(server=each) for each in servers],
                    affinity_keys=tuple(part.part_id for part in prompt[:-1]),
                    now_ms=now_ms,
                    bounds=RELAYED_BOUNDS
                    if self.uses_relayed_bounds
                    else DIRECT_BOUNDS,
                    has_prefix=lambda each: self.prefix_index.has_cached(
                        key, each.key, now_ms
                    ),
                )
                assert selected is not None
                return selected
            case Policy.RENDEZVOUS:
                by_id = {each.server_id: each for each in servers}
                return by_id[rank_by_rendezvous(key, by_id)[0]]
            case Policy.LEAST_LOADED:
                return self._find_least_loaded(servers, now_ms)
            case Policy.TWO_CHOICES:
                return self._find_least_loaded(
                    self.random.sample(list(servers), 2), now_ms
                )
            case Policy.RANDOM:
                return self.random.choice(servers)

    def find_source(
        self,
        prompt: Sequence[PromptPart],
        target: BackendServer,
        servers: Sequence[BackendServer],
        now_ms: float,
        *,
        is_warm: bool,
    ) -> BackendServer | None:
        """Return the engine to copy a prefix from, or None, and record the target.

        The baselines never copy.
        """
        source = None
        if self.policy in (Policy.PRODUCT, Policy.NO_GOSSIP):
            source = self.prefix_index.find(
                prompt, target, servers, now_ms, is_warm=is_warm
            )
        self.prefix_index.record_sent(prompt, target, now_ms)
        return source

    def _find_least_loaded(
        self, servers: Sequence[BackendServer], now_ms: float
    ) -> BackendServer:
        return min(
            servers,
            key=lambda each: (
                self.loads.estimate(each.key, now_ms),
                self.random.random(),
            ),
        )


class EmulatedFleet:
    """Routers and the gossip between them.

    Parameters
    ----------
    plan : ExperimentPlan
        Number of routers and of their links.
    policy : Policy
        How the routers select engines.
    random_state : Random
        Source of random choices.
    """

    def __init__(
        self, *, plan: ExperimentPlan, policy: Policy, random_state: Random
    ) -> None:
        self._plan = plan
        self._is_gossip_enabled = policy is not Policy.NO_GOSSIP
        self._n_rounds = 0
        self._sent_sequence_numbers: dict[tuple[int, int], tuple[int, int]] = {}
        self.routers = [
            EmulatedRouter(
                policy=policy,
                uses_relayed_bounds=plan.n_routers > MAX_DIRECT_ROUTERS,
                random=Random(random_state.random()),
            )
            for _ in range(plan.n_routers)
        ]
        self._links = self._draw_links(random_state)

    def register_server(self, server: BackendServer) -> None:
        """Register an engine with all routers."""
        for router in self.routers:
            router.loads.register_server(server.key)

    def exchange_reports(self, now_ms: float) -> None:
        """Run one round of gossip over all links."""
        if not self._is_gossip_enabled:
            return
        self._n_rounds += 1
        sent_ms, sent = now_ms - self._plan.way_ms, []
        for sender, receiver in self._links:
            router, link = self.routers[sender], str(receiver)
            n_loads, n_prefixes = self._sent_sequence_numbers.get(
                (sender, receiver), (0, 0)
            )
            loads, n_loads = router.loads.reports_after(
                n_loads, now_ms=sent_ms, exclude_link=link
            )
            prefixes, n_prefixes = router.prefix_index.reports_after(
                n_prefixes, now_ms=sent_ms, exclude_link=link
            )
            self._sent_sequence_numbers[sender, receiver] = (n_loads, n_prefixes)
            sent.append((sender, receiver, loads, prefixes))
        for sender, receiver, loads, prefixes in sent:
            router, link = self.routers[receiver], str(sender)
            router.loads.apply_reports(loads, now_ms=now_ms, source=link)
            router.prefix_index.apply_reports(prefixes, now_ms=now_ms, source=link)
            if self._n_rounds % ROUNDS_PER_KEY_COUNTS == 0:
                counts = self.routers[sender].hot_keys.local_counts(now_ms)
                router.hot_keys.apply_counts(link, counts, now_ms)

    def _draw_links(self, random: Random) -> list[tuple[int, int]]:
        links: set[tuple[int, int]] = set()
        n = self._plan.n_routers
        for number in range(n):
            others = [each for each in range(n) if each != number]
            for other in random.sample(others, min(self._plan.n_links, n - 1)):
                links |= {(number, other), (other, number)}
        return sorted(links)

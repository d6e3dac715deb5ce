"""Times of answers before servers of unequal speed, by how routers choose."""

from collections.abc import Callable, Iterator

from benchmarks._measurement import Measurement
from benchmarks._uneven_fleet import RouterPolicy, UnevenFleet, UnevenLoad
from benchmarks._uneven_policies import (
    AllKnowing,
    AskBefore,
    LeastLoaded,
    OwnAnswers,
    PresentKnowing,
    ProbePool,
    Product,
    TwoChoices,
    WithoutSpeeds,
)
from benchmarks._uneven_retries import FailurePattern, RetryingFleet

# A second attempt at a lookup that is silent: never, or after 0.6 of its target.
NO_HEDGE_MS = 1e9
EARLY_MS = 250.0
PROBES_PER_REQUEST = (0.02, 0.1, 0.25, 0.5, 1.0)
PERCENTILES = (50, 99)
Builder = Callable[[UnevenFleet, int], RouterPolicy]
POLICIES: dict[str, Builder] = {
    "all_knowing": AllKnowing,
    "present_knowing": PresentKnowing,
    "without_speeds": WithoutSpeeds,
    "two_choices": TwoChoices,
    "least_loaded": LeastLoaded,
    "own_answers": OwnAnswers,
    "product": Product,
}
LOADS = {
    "lookups": {"work_ms": 90.0},
    "short_lookups": {"work_ms": 22.5},
    "a_slower_kind": {"work_ms": 90.0, "kinds": (1.0, 1.0, 1.3, 1.0)},
}


def measure(seed: int) -> Iterator[Measurement]:
    """Run each choice with the same arrivals and speeds."""
    yield from _measure_retries(seed)
    for name, fields in LOADS.items():
        for n_routers in (3, 112):
            load = UnevenLoad(n_routers=n_routers, **fields)  # type: ignore[arg-type]
            for policy, build in POLICIES.items():
                yield from _measure(name, load, policy, build, seed)
            for share in PROBES_PER_REQUEST:
                for policy, probing in (("asked", AskBefore), ("pool", ProbePool)):
                    yield from _measure(
                        name,
                        load,
                        f"{policy}_{share}",
                        _build_probing(probing, share),
                        seed,
                    )


def _build_probing(policy: type[AskBefore] | type[ProbePool], share: float) -> Builder:
    return lambda fleet, number: policy(fleet, number, probes_per_request=share)


def _measure(
    name: str, load: UnevenLoad, policy: str, build: Builder, seed: int
) -> Iterator[Measurement]:
    fleet = UnevenFleet(load=load, seed=seed)
    result = fleet.run(lambda number: build(fleet, number))
    parameters = {"load": name, "routers": load.n_routers}
    values = {f"p{each}": result.percentile(each) for each in PERCENTILES}
    values["mean"] = result.mean_ms
    for measure_name, value in values.items():
        yield Measurement(
            measure=f"uneven_answer_{measure_name}",
            policy=policy,
            value=round(value, 1),
            unit="ms",
            seed=seed,
            parameters=parameters,
        )
    if result.n_probes:
        yield Measurement(
            measure="uneven_probe_work",
            policy=policy,
            value=round(result.probe_work_share(load.work_ms), 4),
            unit="share of the servers' work",
            seed=seed,
            parameters=parameters,
        )


PATTERNS = {
    "sound": FailurePattern(hedge_ms=NO_HEDGE_MS),
    "sound_at_target": FailurePattern(),
    "sound_early": FailurePattern(hedge_ms=EARLY_MS),
    "one_fails_half": FailurePattern(
        shares=(0.05,) * 4, faulty_shares=(0.5, 0.05, 0.05, 0.05)
    ),
    "all_fail_alike": FailurePattern(shares=(0.14,) * 4, faulty_shares=(0.14,) * 4),
}


def _measure_retries(seed: int) -> Iterator[Measurement]:
    for name, pattern in PATTERNS.items():
        for n_routers in (3, 112):
            load = UnevenLoad(n_routers=n_routers)
            for policy, build in (("product", Product), ("without", WithoutSpeeds)):
                fleet = RetryingFleet(pattern=pattern, load=load, seed=seed)
                result = fleet.run_retries(build)
                for measure_name, value in result.shares(pattern.target_ms).items():
                    yield Measurement(
                        measure=f"uneven_{measure_name}",
                        policy=policy,
                        value=round(value, 4),
                        unit="ratio",
                        seed=seed,
                        parameters={"load": name, "routers": n_routers},
                    )

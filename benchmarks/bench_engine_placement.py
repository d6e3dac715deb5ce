"""Placement of prompts on engines that state their load and speed, by replay."""

from collections.abc import Iterator, Sequence

from attrs import evolve

from benchmarks._engine_fleet import WARM_UP_MS, Placement, Replay, ReplayPlan
from benchmarks._engine_replay import Engines, RequestKind, Run
from benchmarks._measurement import Measurement

PERCENT = 100.0
N_SEEDS = 2

# Without overload the speeds are those of usual work.
OVERLOAD_ONLY = ("no_speeds", "own_speeds_only")
PLACEMENTS = {
    "former": Placement(states_urgency=False, uses_figures=False),
    "former_with_urgency": Placement(uses_figures=False),
    "no_speeds": Placement(knows_speeds=False),
    "own_speeds_only": Placement(are_speeds_told=False),
    "damaskrill": Placement(),
}


def build_kinds(
    rows: Sequence[tuple[str, int, float, int, int, int, int, int, float, float]],
) -> tuple[RequestKind, ...]:
    """Return kinds of requests from rows of their figures."""
    return tuple(
        RequestKind(
            name=name,
            priority=priority,
            per_s=per_s,
            base_tokens=base,
            dossier_tokens=dossier,
            own_tokens=own,
            n_dossiers=n_dossiers,
            n_events=n_events,
            target_ms=target_ms,
            pause_ms=pause_ms,
        )
        for (
            name,
            priority,
            per_s,
            base,
            dossier,
            own,
            n_dossiers,
            n_events,
            target_ms,
            pause_ms,
        ) in rows
    )


SMALL = ReplayPlan(
    engines=Engines(
        n=30,
        read_per_ms=44.2,
        step_ms=3.4,
        tokens_per_event=8,
        memory_tokens=300_630,
    ),
    kinds=build_kinds(
        [
            ("review", 2, 52.0, 1_000, 7_620, 580, 250, 7, 1_235.0, 500.0),
            ("draft", 1, 67.0, 400, 1_641, 360, 300, 3, 519.0, 500.0),
            ("chat", 0, 63.5, 200, 403, 110, 400, 35, 415.0, 500.0),
        ]
    ),
    n_routers=76,
)
LARGE = ReplayPlan(
    engines=Engines(
        n=45,
        read_per_ms=50.7,
        step_ms=5.95,
        tokens_per_event=5,
        memory_tokens=374_886,
    ),
    kinds=build_kinds(
        [
            ("digest", 0, 87.6, 1_000, 7_620, 580, 350, 10, 635.0, 400.0),
            ("check", 1, 102.0, 400, 1_641, 360, 400, 5, 1_019.0, 400.0),
            ("draft", 2, 58.5, 200, 403, 110, 400, 56, 1_215.0, 400.0),
        ]
    ),
    n_routers=112,
)
# All traffic times so many, and this share of the engines slow.
PEAK = 2.6
SLOW_SHARE = 0.34


def measure(seed: int) -> Iterator[Measurement]:
    """Yield measurements of both fleets, usual and overloaded, by way of placing."""
    for fleet, plan in (("30/76", SMALL), ("45/112", LARGE)):
        overload = evolve(plan, peak=PEAK, slow_share=SLOW_SHARE)
        for load, played in (("usual", plan), ("overload", overload)):
            for policy, placement in PLACEMENTS.items():
                if load == "usual" and policy in OVERLOAD_ONLY:
                    continue
                replays = []
                for number in range(N_SEEDS):
                    replay = Replay(played, placement, seed + number)
                    replay.run()
                    replays.append(replay)
                for name, value, unit in summarize(plan, replays):
                    yield Measurement(
                        measure=name,
                        policy=policy,
                        value=round(value, 2),
                        unit=unit,
                        seed=seed,
                        parameters={"fleet": fleet, "load": load},
                    )


def summarize(
    plan: ReplayPlan, replays: Sequence[Replay]
) -> Iterator[tuple[str, float, str]]:
    """Yield name, value and unit of each figure, over all seeds."""
    for kind in plan.kinds:
        runs = [
            each
            for replay in replays
            for each in replay.ended
            if each.kind == kind and each.sent_at_ms >= WARM_UP_MS
        ]
        firsts = sorted(map(first_ms, runs))
        yield f"{kind.name}_first_p50", firsts[len(firsts) // 2], "ms"
        yield f"{kind.name}_first_p99", firsts[int(len(firsts) * 0.99)], "ms"
        is_late = [first_ms(each) > kind.target_ms for each in runs]
        has_pause = [each.longest_pause_ms > kind.pause_ms for each in runs]
        n_late = sum(map(max, is_late, has_pause))
        yield f"{kind.name}_late", PERCENT * n_late / len(runs), "percent"
        yield f"{kind.name}_pauses", PERCENT * sum(has_pause) / len(runs), "percent"
    counts = sum((each.counts for each in replays[1:]), replays[0].counts)
    shared, n = counts["shared"] / PERCENT, counts["requests"] / PERCENT
    yield "shared_tokens_read", counts["read"] / shared, "percent"
    yield "shared_tokens_copied", counts["copied"] / shared, "percent"
    yield "copied_between_data_centres", counts["copied_far"] / shared, "percent"
    yield "requests_between_data_centres", counts["crossing"] / n, "percent"
    yield "above_load_rule", counts["above_rule"] / n, "percent"
    seconds = len(replays) * (plan.duration_ms - WARM_UP_MS) / 1_000
    # A request's body has about one byte a token of its prompt.
    yield "request_kb_between", counts["crossing_tokens"] / 1_000 / seconds, "kB/s"
    yield "frame_kb_between", counts["frame_bytes"] / 1_000 / seconds, "kB/s"


def first_ms(run: Run) -> float:
    """Return the time until a request's first event, in milliseconds."""
    assert run.first_at_ms is not None
    return run.first_at_ms - run.sent_at_ms

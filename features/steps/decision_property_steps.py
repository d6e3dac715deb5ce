"""Steps for invariants of the decisions over many seeds."""

import json
from collections import Counter

from behave import then, when
from hypothesis import given as property_of
from hypothesis import seed as with_seed
from hypothesis import settings
from hypothesis import strategies as st

from damaskrill.admission import reachable_share
from damaskrill.codec import message_to_map
from damaskrill.fairness import FairQueue, QueuedAttempt
from damaskrill.messages import EventName, NotRun, OfferAttempt
from damaskrill.utils import check_random_state
from features.support.builders import build_member, build_request, build_team
from features.support.seeded_fleets import (
    loads_above_multiple,
    run_actions,
    run_chats,
)

CHAT_RUNS = {}


def chat_run(seed):
    if seed not in CHAT_RUNS:
        CHAT_RUNS[seed] = run_chats(seed)
    return CHAT_RUNS[seed]


@when("{n_seeds:d} seeded fleets run with surges, restarts and delayed reports")
def step_run_chats(context, n_seeds):
    context.fleets = {seed: chat_run(seed) for seed in range(n_seeds)}


@when("{n_seeds:d} seeded fleets run actions on servers that fail and restart")
def step_run_actions(context, n_seeds):
    context.fleets = {seed: run_actions(seed) for seed in range(n_seeds)}


@then("every dispatch was within the bound that its owner had computed")
def step_within_owner_bound(context):
    for seed, fleet in context.fleets.items():
        dispatched = [
            event
            for _, event in fleet.logged
            if event.name is EventName.ATTEMPT_DISPATCHED
        ]
        assert dispatched, seed
        above = [each for each in dispatched if each.load > each.load_bound]
        assert not above, (seed, above[0])


@then("no load was above the capacity of the server")
def step_no_crash(context):
    for seed, fleet in context.fleets.items():
        crashed = {
            name: e.n_crashes for name, e in fleet.engines.items() if e.n_crashes
        }
        assert not crashed, (seed, crashed)


@then(
    "no load was above the configured multiple of the highest mean of the last second"
)
def step_within_multiple(context):
    for seed, fleet in context.fleets.items():
        above = loads_above_multiple(fleet)
        assert not above, (seed, above[0])


@then("no request that was refused as not run has reached a server")
@then("no action that reached a server was refused as not run")
def step_refused_not_run(context):
    for seed, fleet in context.fleets.items():
        reached = {each.attempt.request.request_id for each in fleet.dispatches}
        refused = {n for n, o in fleet.outcomes.items() if isinstance(o, NotRun)}
        assert not reached & refused, (seed, sorted(reached & refused))


@then("every request has exactly one outcome")
def step_one_outcome(context):
    for seed, fleet in context.fleets.items():
        ended = Counter(
            event.request_id
            for _, event in fleet.logged
            if event.name is EventName.REQUEST_ENDED
        )
        assert set(ended) == set(fleet.arrived_at_ms), seed
        assert max(ended.values()) == 1, seed


@then("no action has reached a server twice")
def step_action_once(context):
    n_reached = 0
    for seed, fleet in context.fleets.items():
        keys = Counter(e.attempt.request.idempotency_key for e in fleet.dispatches)
        n_reached += len(keys)
        assert max(keys.values()) == 1, (seed, keys.most_common(1))
    assert n_reached > 0


@when(
    "{n_seeds:d} seeded sequences of pushes, removals and expiries run on a fair queue"
)
def step_run_queues(context, n_seeds):
    context.tallies = [run_queue(seed) for seed in range(n_seeds)]


def run_queue(seed):
    """Return the pushed entries, and how often each left the queue."""
    random = check_random_state(seed)
    queue = FairQueue(max_length=random.randint(1, 12))
    left_queue = Counter()
    pushed = []
    for n in range(120):
        action = random.random()
        if action < 0.6:
            entry = build_entry(n, random)
            pushed.append(entry.attempt_id)
            victim = queue.push(entry)
            left_queue.update([victim.attempt_id] if victim is not None else [])
        elif action < 0.8:
            popped = pop_any(queue)
            left_queue.update([popped.attempt_id] if popped is not None else [])
        elif action < 0.9 and pushed:
            removed = queue.remove(random.choice(pushed))
            left_queue.update([removed.attempt_id] if removed is not None else [])
        else:
            left_queue.update(e.attempt_id for e in queue.remove_expired(n))
    while queue:
        left_queue[pop_any(queue).attempt_id] += 1
    return pushed, left_queue


def pop_any(queue):
    return queue.pop(n_running=lambda team: 0, may_acquire=lambda team: True)


def build_entry(n, random):
    offer = OfferAttempt(
        attempt_id=f"attempt-{n}",
        request=build_request(n),
        backend_server="engine-1",
        remaining_ms=1_000,
    )
    team = build_team(
        f"team-{random.randrange(6)}",
        share=random.randint(1, 3),
        priority=random.randrange(3),
    )
    return QueuedAttempt(
        offer=offer,
        entry=build_member(1),
        team=team,
        queued_at_ms=n,
        expires_at_ms=n + random.randrange(1, 60),
        deadline_ms=n + 1_000,
    )


@then("every entry left the queue exactly once")
def step_queue_loses_nothing(context):
    for seed, (pushed, left_queue) in enumerate(context.tallies):
        assert left_queue == Counter(pushed), seed


@when("{n_seeds:d} seeded fleets run twice")
def step_run_twice(context, n_seeds):
    context.pairs = [
        [as_bytes(run_chats(seed, records_effects=True)) for _ in range(2)]
        for seed in range(n_seeds)
    ]


def as_bytes(fleet):
    lines = [
        json.dumps([at_ms, address, message_to_map(effect)], sort_keys=True)
        for at_ms, address, effect in fleet.effects
    ]
    return "\n".join(lines).encode()


@then("both runs gave the same bytes")
def step_same_bytes(context):
    for seed, (first, second) in enumerate(context.pairs):
        assert first and first == second, seed


@then("for every split, the shares of all sides are within the bound in total")
def step_shares(context):
    @settings(max_examples=500, deadline=None, database=None)
    @with_seed(1)
    @property_of(
        bound=st.integers(0, 200),
        sides=st.lists(st.integers(1, 60), min_size=1, max_size=6),
    )
    def check(bound, sides):
        n_listed = sum(sides)
        shares = [
            reachable_share(bound, n_reachable=side, n_listed=n_listed)
            for side in sides
        ]
        assert sum(shares) <= bound, (bound, sides, shares)
        if len(sides) == 1:
            assert shares == [bound]
        if bound and max(sides) * 2 > n_listed:
            assert max(shares) >= 1

    check()

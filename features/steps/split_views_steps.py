"""Steps on the reach that an owner's share is worked out from."""

from behave import given, then

from damaskrill.admission import Reachability, ReachabilityWindow


@given("an owner that reaches {n:d} of {n_listed:d} routers from {at_ms:d} ms on")
@given("that reaches {n:d} of {n_listed:d} routers from {at_ms:d} ms on")
def step_reaches(context, n, n_listed, at_ms):
    changes = getattr(context, "reach_changes", [])
    context.reach_changes = [
        *changes,
        (at_ms, Reachability(n_reachable=n, n_listed=n_listed)),
    ]


@then("its settled reach is {n:d} routers at {at_ms:d} ms")
def step_settled(context, n, at_ms):
    minimum = ReachabilityWindow()
    for changed_at_ms, reach in context.reach_changes:
        if changed_at_ms <= at_ms:
            minimum.update(reach, changed_at_ms)
    found = minimum.minimum(at_ms)
    assert found.n_reachable == n, found

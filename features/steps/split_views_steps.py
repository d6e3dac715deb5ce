"""Steps for the reachability from which an owner derives its share of a bound."""

from behave import given, then

from damaskrill.admission import Reachability, ReachabilityWindow


@given("an owner that reaches {n:d} of {n_listed:d} routers from {at_ms:d} ms on")
@given("that reaches {n:d} of {n_listed:d} routers from {at_ms:d} ms on")
def step_reaches(context, n, n_listed, at_ms):
    changes = getattr(context, "reachability_changes", [])
    context.reachability_changes = [
        *changes,
        (at_ms, Reachability(n_reachable=n, n_listed=n_listed)),
    ]


@then("its minimum reachability is {n:d} routers at {at_ms:d} ms")
def step_minimum(context, n, at_ms):
    window = ReachabilityWindow()
    for changed_at_ms, reachability in context.reachability_changes:
        if changed_at_ms <= at_ms:
            window.update(reachability, changed_at_ms)
    found = window.minimum(at_ms)
    assert found.n_reachable == n, found

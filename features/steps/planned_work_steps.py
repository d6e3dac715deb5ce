"""Steps for plays of router processes under planned work and broken answers."""

from behave import given, then, when

from features.support.piece_play import PLAYS, PieceFleet

# Streams that last longer are left as they are.
PATIENCE_S = 4


@given('{n:d} router processes in the play "{play}" with seed {seed:d}')
def step_fleet(context, n, play, seed):
    context.fleet = PieceFleet(n_routers=n, play=PLAYS[play], seed=seed)
    context.add_cleanup(context.fleet.close)
    context.fleet.wait_until_ready()


@when("{n:d} callers send requests for {seconds:d} s")
def step_play(context, n, seconds):
    context.judge = context.fleet.run(
        seconds=seconds, n_callers=n, patience_s=PATIENCE_S
    )


@then("no rule is broken")
def step_no_violation(context):
    violations = context.judge.find_violations()
    print(context.judge.summarize())
    folder = context.fleet.routers.folder
    assert not violations, (len(violations), violations[0], folder)
    context.add_cleanup(context.fleet.routers.discard_logs)


@then("at least {n:d} requests came on kept connections")
def step_kept(context, n):
    assert context.judge.summarize()["n_on_kept"] >= n

"""Steps for repeats of a failing service while routers come and go."""

import threading

from behave import given, then, when

from features.support.failing_service import FailingService

# Longer than the play, so that nothing is disturbed.
NEVER_S = 60.0
PAUSE_S = 1.0


def kill_all(routers, _number):
    for number in range(len(routers.addresses)):
        routers.kill(number)


def pause(routers, number):
    routers.pause(number)
    threading.Timer(PAUSE_S, routers.resume, [number]).start()


DISTURBANCES = {
    "nothing happens to the routers": (lambda routers, number: None, NEVER_S),
    "one router after the other is killed each 0.7 s": (
        lambda routers, number: routers.kill(number),
        0.7,
    ),
    "all routers are killed each 5 s": (kill_all, 5.0),
    "one router after the other is stopped each 0.7 s": (
        lambda routers, number: routers.stop(number),
        0.7,
    ),
    "one router after the other is paused each 0.7 s": (pause, 0.7),
}


@given("{n:d} router processes before a service that fails each read")
def step_failing_service(context, n):
    context.service = FailingService(n_routers=n)
    context.add_cleanup(context.service.close)
    context.service.wait_until_ready()


@when("callers send {per_s:d} reads a second for {seconds:d} seconds and {disturbance}")
def step_disturb(context, per_s, seconds, disturbance):
    disturb, interval_s = DISTURBANCES[disturbance]
    context.service.play(
        seconds=seconds, per_s=per_s, disturb=disturb, interval_s=interval_s
    )


@then("in no window of 10 s repeats are over {ratio:g} x the requests + {slack:d}")
def step_within_budget(context, ratio, slack):
    worst = context.service.find_worst_window(ratio=ratio, slack=slack)
    print(worst)
    assert worst is not None, "the servers got no repeat"
    assert worst.n_excess <= 0, worst

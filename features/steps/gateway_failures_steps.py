"""Steps for failures that routers report to each other, on a virtual clock."""

from collections import Counter
from random import Random

from attrs import define
from behave import given, then, when

from damaskrill.steering import (
    FailureDetector,
    FailureReport,
    FleetHealth,
    FleetRetryBudget,
    ServerOutcome,
)
from features.support.builders import build_engine

N_ENGINES = 30
RATE_PER_S = 250
DURATION_S = 10
PUBLISH_INTERVAL_MS = 50
SEEDS = (11, 12)
SERVER = ("e-1", 0)
CENTRES = ("bole", "kality", "sululta")


@define
class DetectingRouter:
    """A router's failure detector and its view of the servers' health."""

    detector: FailureDetector
    health: FleetHealth
    cursors: dict


def build_detecting_router(number):
    detector = FailureDetector(router=f"r-{number}", data_centre=CENTRES[number % 3])
    return DetectingRouter(detector, FleetHealth(detector=detector), {})


def neighbours(number, n):
    steps = (1, 19, 33, -1, -19, -33) if n > 12 else range(1, n)
    return [(number + step) % n for step in steps]


def publish_failures(context, keys, now_ms):
    sent = []
    for number, router in enumerate(context.routers):
        router.detector.flush()
        for receiver in neighbours(number, len(context.routers)):
            reports, router.cursors[receiver] = router.detector.reports_after(
                router.cursors.get(receiver, 0),
                now_ms=now_ms,
                exclude_link=str(receiver),
            )
            sent.append((str(number), context.routers[receiver], reports))
    for source, router, reports in sent:
        if router.detector.apply_reports(reports, now_ms=now_ms, source=source):
            for key in keys:
                router.health.evaluate_reports(
                    key, service=keys, fleet_per_s=RATE_PER_S, now_ms=now_ms
                )


@given("{n:d} routers in front of 30 engines that report failures to each other")
def step_publishing_routers(context, n):
    context.is_publishing = True
    context.n_routers = n


@given("{n:d} routers in front of 30 engines that do not report failures")
def step_silent_routers(context, n):
    step_publishing_routers(context, n)
    context.is_publishing = False


@when("250 requests a second arrive for 10 s and one engine fails {part:d} of 100")
def step_failing_engine(context, part):
    simulate_failures(context, part, n_failing=1)


@when("250 requests a second arrive for 10 s and all engines fail {part:d} of 100")
def step_failing_engines(context, part):
    simulate_failures(context, part, n_failing=N_ENGINES)


def simulate_failures(context, part, *, n_failing):
    context.n_received, context.n_ejected = Counter(), Counter()
    for seed in SEEDS:
        context.routers = [build_detecting_router(n) for n in range(context.n_routers)]
        simulate_once(context, part, Random(seed), n_failing=n_failing)


def simulate_once(context, part, random, *, n_failing):
    keys = [build_engine(f"e-{number}").key for number in range(N_ENGINES)]
    published_at_ms = 0.0
    for number in range(RATE_PER_S * DURATION_S):
        now_ms = number * 1_000 / RATE_PER_S
        if context.is_publishing and now_ms - published_at_ms >= PUBLISH_INTERVAL_MS:
            published_at_ms = now_ms
            publish_failures(context, keys, now_ms)
        health = random.choice(context.routers).health
        usable = [key for key in keys if not health.is_ejected(key, now_ms)]
        context.n_ejected.update(set(keys).difference(usable))
        key = random.choice(usable or keys)
        context.n_received[key] += 1
        may_fail = key in keys[:n_failing]
        has_failed = may_fail and random.random() * 100 < part
        outcome = ServerOutcome.ERROR_STATUS if has_failed else ServerOutcome.GOOD
        health.record(key, outcome, now_ms)
    context.failing_key = keys[0] if n_failing == 1 else None


@then("the failing engine receives at most half of its share")
def step_at_most_half(context):
    share = context.n_received.total() / N_ENGINES
    assert context.n_received[context.failing_key] <= share / 2, context.n_received


@then("the failing engine receives more than half of its share")
def step_more_than_half(context):
    share = context.n_received.total() / N_ENGINES
    assert context.n_received[context.failing_key] > share / 2, context.n_received


@then("the other engines are ejected for less than 1 of 100 of the time")
def step_hardly_ejected(context):
    others = +context.n_ejected
    others.pop(context.failing_key, None)
    n_checks = context.n_received.total() * N_ENGINES
    assert others.total() < n_checks / 100, others


@given("failure detectors in three data centres")
def step_detectors(context):
    context.detectors = [
        FailureDetector(router=f"r-{number}", data_centre=name)
        for number, name in enumerate(CENTRES)
    ]


def build_report(router, data_centre, *, number=1, n_failed=1, n_unreachable=0):
    detector = FailureDetector(
        router=router, data_centre=data_centre, first_number=number
    )
    for failure in range(n_failed):
        is_unreachable = failure < n_unreachable
        detector.record_failure(SERVER, is_unreachable=is_unreachable, now_ms=100.0)
    detector.flush()
    (report,), _ = detector.reports_after(0, now_ms=100.0)
    assert isinstance(report, FailureReport)
    return report


def find_suspected(context):
    return [
        detector.is_suspected(SERVER, expected_per_s=1.0, now_ms=150.0)
        for detector in context.detectors
    ]


@when("two routers of the first data centre cannot reach a server")
def step_two_unreached(context):
    for name in ("n-1", "n-2"):
        report = build_report(name, CENTRES[0], n_unreachable=1)
        for detector in context.detectors:
            detector.apply_reports([report], now_ms=100.0, source="link")


@when("a router of the second data centre cannot reach it either")
def step_third_unreached(context):
    report = build_report("n-3", CENTRES[1], n_unreachable=1)
    for detector in context.detectors:
        detector.apply_reports([report], now_ms=100.0, source="link")


@when("the third data centre's router gets a good answer from it")
def step_good_answer(context):
    context.detectors[2].record_success(SERVER)


@then("only the first data centre's detector suspects it")
def step_only_first(context):
    assert find_suspected(context) == [True, False, False]


@then("the detector of every data centre suspects it")
def step_all_suspect(context):
    assert find_suspected(context) == [True, True, True]


@then("the third data centre's detector no longer suspects it")
def step_third_does_not(context):
    assert find_suspected(context) == [True, True, False]


@when("one router's report of 2 failures arrives three times")
def step_doubled_report(context):
    report = build_report("n-1", CENTRES[0], n_failed=2)
    for link in ("a", "b", "c"):
        context.detectors[0].apply_reports([report], now_ms=100.0, source=link)


@then("the detector has relayed it once")
def step_relayed_once(context):
    reports, _ = context.detectors[0].reports_after(0, now_ms=150.0, exclude_link="b")
    assert len(reports) == 1


@then("the detector does not suspect the server")
def step_not_suspected(context):
    detector = context.detectors[0]
    assert not detector.is_suspected(SERVER, expected_per_s=1.0, now_ms=150.0)


@when("the server is removed")
def step_server_removed(context):
    for detector in context.detectors:
        FleetHealth(detector=detector).retain_only({("e-2", 0)})


@then("no detector holds reports")
def step_no_reports(context):
    assert [detector.n_reports for detector in context.detectors] == [0, 0, 0]


@given("a router that has received 20 requests in its first 2 s")
def step_first_requests(context):
    context.budget = FleetRetryBudget(ratio=0.2, slack=10, window_ms=10_000)
    for number in range(20):
        context.budget.record_request("app", 5_000.0 + 100 * number)
    context.now_ms = 7_000.0


@when("30 s pass without a request")
def step_no_requests(context):
    context.now_ms += 30_000


@then("it estimates the service's rate as {rate:d} a second")
def step_rate(context, rate):
    found = context.budget.requests_per_s("app", context.now_ms)
    assert abs(found - rate) < 0.5, found


@when("2000 reports of one server arrive at a detector")
def step_many_reports(context):
    for number in range(2_000):
        report = build_report("n-1", CENTRES[0], number=number)
        context.detectors[0].apply_reports([report], now_ms=100.0, source="link")


@then("the detector holds at most 256 reports")
def step_bounded(context):
    assert context.detectors[0].n_reports <= 256, context.detectors[0].n_reports

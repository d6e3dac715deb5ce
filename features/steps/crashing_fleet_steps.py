"""Steps for prompts that crash servers, with routers on a virtual clock."""

from itertools import pairwise

import cbor2
from behave import given, then, when

from damaskrill.exceptions import PeerFrameError
from damaskrill.mesh._frames import Update, decode, encode
from damaskrill.steering import CrashReport, SoundnessReport
from features.support.crash_reports import (
    BAD,
    build_detector,
    crash_under_bad_part,
    is_blocking,
)

SEEDS = (1, 2, 3)
N_BEFORE_MS = 5_000
ARRIVAL_MS = 40_000
# Time for which prompts with a bad part and sound ones share a document.
SHARED_MS = 60_000
# Far fewer requests than a real router gets, but each part is used several times a
# second in the whole fleet.
SOUND_PER_S = 40
# The fifth crash counts, or the last one if there are fewer.
FIFTH = 5
# After the third one a request that comes again is known.
THIRD = 3
BAD_REQUEST = 7
# Without requests nothing refutes a crash any more.
RELEASE_MS = 2_000
CONTACT_MS = 3_000
BAD_IDS = ("bad", "bad-2")


def build_fleets(n, servers, seeds):
    from features.support.crashing_fleet import CrashingFleet

    return [
        CrashingFleet(n_routers=n, n_servers=servers, random_state=seed)
        for seed in seeds
    ]


@given("{n:d} routers before {servers:d} engines that may crash under prompts")
def step_fleets(context, n, servers):
    start_fleets(context, build_fleets(n, servers, SEEDS))


@given(
    "{n:d} routers before {servers:d} engines with seed {seed:d} "
    "that may crash under prompts"
)
def step_seeded_fleet(context, n, servers, seed):
    start_fleets(context, build_fleets(n, servers, [seed]))


def start_fleets(context, fleets):
    context.fleets = fleets
    for fleet in fleets:
        until_ms = N_BEFORE_MS + ARRIVAL_MS
        fleet.send_all(sound_per_s=SOUND_PER_S, until_ms=until_ms)
        fleet.run(N_BEFORE_MS)


def send_bad_ones(context, choices, *, is_regular):
    until_ms = N_BEFORE_MS + ARRIVAL_MS
    for fleet in context.fleets:
        fleet.bad_parts = set(BAD_IDS)
        for choose in choices:
            fleet.send_bad_ones(choose, until_ms=until_ms, is_regular=is_regular)
        fleet.run(until_ms)


@when(
    "two requests a second whose {place} part is bad arrive among sound ones for 40 s"
)
def step_bad_arrive(context, place):
    from features.support.crashing_fleet import CHOICES

    context.choose = CHOICES[place]
    send_bad_ones(context, [context.choose], is_regular=True)


@when("requests whose {place} part is bad arrive in bursts among sound ones for 40 s")
def step_bad_bursts(context, place):
    from features.support.crashing_fleet import CHOICES

    send_bad_ones(context, [CHOICES[place]], is_regular=False)


@when("requests with two different bad parts arrive among sound ones for 40 s")
def step_two_bad(context):
    from features.support.crashing_fleet import CHOICES, choose_other_bad_part

    choices = [CHOICES["second"], choose_other_bad_part]
    send_bad_ones(context, choices, is_regular=True)


def find_fifth_crash(fleet):
    return fleet.crashes[min(FIFTH, len(fleet.crashes)) - 1]


DOCUMENT = ("team-0", "document")
# Time for which prompts on the document come before the first crash.
HISTORY_MS = 40_000
TOGETHER = 3
PERIOD_MS = 5_000


def serve_others(fleet, until_ms):
    """Send what other teams ask until a time, and let it come."""
    fleet.every(
        4, lambda: fleet.send(choose_other(fleet), is_bad=False), until_ms=until_ms
    )
    fleet.run(until_ms)


def choose_other(fleet):
    return ("team-9", f"other-{fleet.random.randrange(7)}")


@given("the routers have served the document")
def step_served_before(context):
    for fleet in context.fleets:
        serve_document(fleet)


def serve_document(fleet):
    until_ms = fleet.now_ms + HISTORY_MS
    fleet.send_together(
        lambda _: [DOCUMENT] * TOGETHER,
        every_ms=PERIOD_MS,
        until_ms=until_ms,
        is_bad=False,
    )
    serve_others(fleet, until_ms)


@given("the routers have started")
def step_just_started(context):
    for fleet in context.fleets:
        serve_document(fleet)
        fleet.restart_routers()


@given("the routers have never served the document")
def step_never_served(context):
    for fleet in context.fleets:
        serve_others(fleet, fleet.now_ms + HISTORY_MS)


BAD_PROMPTS = {
    "before the document": lambda _: ("team-0", BAD, "document"),
    "after the document": lambda _: ("team-0", "document", BAD),
    "before one of two documents in turn": lambda number: (
        "team-0",
        BAD,
        "document" if number % 2 else "document-2",
    ),
    "between two parts that are always shared": lambda _: (
        "team-0",
        "aa",
        BAD,
        "bb",
        "document",
    ),
}


@when(
    "prompts with a bad part {place} come every 5 s, and sound ones on the document "
    "every {s:d} s"
)
def step_bad_before_document(context, place, s):
    build = BAD_PROMPTS[place]
    for fleet in context.fleets:
        until_ms = fleet.now_ms + SHARED_MS
        fleet.bad_parts = {BAD}
        fleet.send_together(
            lambda number: [build(number)],
            every_ms=PERIOD_MS,
            until_ms=until_ms,
            is_bad=True,
            n_retries=1,
        )
        fleet.at(PERIOD_MS / 2, send_document, fleet, s, until_ms)
        serve_others(fleet, until_ms)


def send_document(fleet, s, until_ms):
    fleet.on_document = fleet.send_together(
        lambda _: [DOCUMENT] * TOGETHER,
        every_ms=s * 1_000,
        until_ms=until_ms,
        is_bad=False,
    )


@then("at least half of the sound ones begin from {s:d} s after the fifth crash on")
def step_half_begin(context, s):
    for fleet in context.fleets:
        from_ms = find_fifth_crash(fleet) + s * 1_000
        counted = [each for each in fleet.on_document if each.arrived_ms > from_ms]
        begun = [each for each in counted if each.has_begun]
        assert counted and len(begun) >= len(counted) / 2, (len(begun), len(counted))


@when("the document itself turns bad and its prompts come every 5 s")
def step_document_bad(context):
    for fleet in context.fleets:
        until_ms = fleet.now_ms + SHARED_MS
        fleet.bad_parts = {DOCUMENT[-1]}
        fleet.send_together(
            lambda _: [DOCUMENT],
            every_ms=PERIOD_MS,
            until_ms=until_ms,
            is_bad=True,
            n_retries=1,
        )
        fleet.sound_since = len(fleet.sound_rejected)
        serve_others(fleet, until_ms)


@then("at most {n:d} engines crash in 60 s")
def step_few_crashes(context, n):
    found = [len(fleet.crashes) for fleet in context.fleets]
    assert all(0 < each <= n for each in found), found


@then("no request without the document is rejected")
def step_others_not_rejected(context):
    for fleet in context.fleets:
        rejected = fleet.sound_rejected[fleet.sound_since :]
        assert not rejected, rejected[:5]


@given(
    'it has served part "{first}" {n_first:d} times and part "{second}" {n_second:d} '
    "times, 10 s before"
)
def step_served_times(context, first, n_first, second, n_second):
    from damaskrill.steering import short_id

    for part, n_times in ((first, n_first), (second, n_second)):
        for _ in range(n_times):
            context.detector.record_served([short_id(part)], -10_000.0)


@when("a router starts that gets the reports of this one")
def step_peer_starts(context):
    reports, _ = context.detector.reports_after(-1, now_ms=context.now_ms)
    context.detector = build_detector("r-new", first_number=9)
    context.detector.apply_reports(reports, now_ms=context.now_ms, source="r-1")


@then("no router sends more than {n_bytes:d} bytes a second of reports on soundness")
def step_soundness_bytes(context, n_bytes):
    for fleet in context.fleets:
        busiest = max(fleet.soundness_bytes.values())
        assert busiest <= n_bytes, busiest


@given("an update with a report on the soundness of a part")
def step_soundness_update(context):
    context.update = Update(soundness=(SoundnessReport(part=5, n_served=9),))


@then("it is the same after its way over a link")
def step_update_unchanged(context):
    assert decode(encode(context.update)) == context.update


@then("with a report that is cut it is refused with a typed error")
def step_cut_soundness(context):
    *before, soundness = cbor2.loads(encode(context.update))
    for cut in (soundness[:-1], soundness[:4], [1], "x", None, 7):
        try:
            decode(cbor2.dumps([*before, cut]))
        except PeerFrameError:
            continue
        raise AssertionError(f"reports {cut} were accepted")


@then("an update of a former build, which has no such field, has no such report")
def step_former_update(context):
    *former, _ = cbor2.loads(encode(context.update))
    assert decode(cbor2.dumps(former)) == Update()


@when("it has served {n:d} requests, each with a part of its own")
def step_many_served(context, n):
    for number in range(n):
        context.detector.record_served([number], float(number))


@then("it remembers at most {n:d} parts")
def step_bounded_parts(context, n):
    assert len(context.detector._served) <= n


@then("at most {n:d} engines crash")
def step_n_crashes(context, n):
    found = [len(fleet.crashes) for fleet in context.fleets]
    assert all(0 < each <= n for each in found), found


@then(
    "at most {n:d} bad requests reach an engine "
    "later than {s:d} s after the fifth crash"
)
def step_n_late(context, n, s):
    check_n_late(context, n, find_fifth_crash, s)


def check_n_late(context, n, find_crash, s):
    found = []
    for fleet in context.fleets:
        from_ms = find_crash(fleet) + s * 1_000
        found.append(sum(at_ms > from_ms for at_ms in fleet.bad_reached))
    assert all(each <= n for each in found), found


@then("no sound request is rejected later than {s:d} s after the fifth crash")
def step_none_rejected(context, s):
    check_none_rejected(context, find_fifth_crash, s)


def check_none_rejected(context, find_crash, s):
    for fleet in context.fleets:
        from_ms = find_crash(fleet) + s * 1_000
        late = [each for each in fleet.sound_rejected if each[0] > from_ms]
        assert not late, late[:5]
        assert fleet.n_served > 0


@then("no sound request is rejected in the last 20 s")
def step_none_rejected_at_last(context):
    for fleet in context.fleets:
        from_ms = fleet.now_ms - 20_000
        late = [each for each in fleet.sound_rejected if each[0] > from_ms]
        assert not late, late[:5]


@then("every router blocks both bad parts")
def step_both_blocked(context):
    for fleet in context.fleets:
        for part in BAD_IDS:
            n_blocking = len(fleet.find_blocking(part))
            assert n_blocking == len(fleet.detectors), (part, n_blocking)


@then("every router blocks the bad part")
def step_all_block(context):
    for fleet in context.fleets:
        assert len(fleet.find_blocking(BAD)) == len(fleet.detectors)


@when("sound requests arrive for 40 s and {fault}")
def step_other_fault(context, fault):
    until_ms = N_BEFORE_MS + ARRIVAL_MS
    for fleet in context.fleets:
        if fault.startswith("a third"):
            fleet.at(1_000, lose_power, fleet)
        elif fault.startswith("two engines flap"):
            for at_ms in range(500, ARRIVAL_MS, 1_000):
                fleet.at(at_ms, flap, fleet)
        else:
            n_broken = int(fault.split(" of 100")[0].split()[-1])
            fleet.break_share = n_broken / 100
        fleet.run(until_ms)


def lose_power(fleet):
    for server in fleet.servers[: len(fleet.servers) // 3]:
        fleet.crash(server)


def flap(fleet):
    for server in fleet.servers[:2]:
        fleet.crash(server, restart_ms=50)


@then("requests were served and no part was ever blocked")
def step_none_blocked(context):
    for fleet in context.fleets:
        assert fleet.n_served > ARRIVAL_MS / 1_000 * SOUND_PER_S / 2
        assert not fleet.ever_blocked and not fleet.sound_rejected


# Requests a second while something happens rarely.
RARE_PER_S = 4


@when("prompts with a bad part come every {s:g} s among sound ones, {n:d} times")
def step_rare_bad(context, s, n):
    from features.support.crashing_fleet import choose_second_part

    for fleet in context.fleets:
        fleet.bad_parts = {BAD}
        until_ms = fleet.now_ms + n * s * 1_000
        fleet.send_all(sound_per_s=RARE_PER_S, until_ms=until_ms)
        for number in range(n):
            delay_ms = number * s * 1_000
            fleet.at(delay_ms, send_bad_prompt, fleet, choose_second_part)
        fleet.run(until_ms)


def send_bad_prompt(fleet, choose):
    fleet.send(choose(fleet.random), is_bad=True)


@when("sound requests arrive for {s:d} s, and an engine crashes every {pause:d} s")
def step_now_and_then(context, s, pause):
    for fleet in context.fleets:
        until_ms = fleet.now_ms + s * 1_000
        fleet.send_all(sound_per_s=RARE_PER_S, until_ms=until_ms)
        crash_now_and_then(fleet, pause, until_ms)


def crash_now_and_then(fleet, pause, until_ms):
    """Crash servers in the middle of what they run until a time."""
    fleet.every(1 / pause, lambda: crash_busiest(fleet), until_ms=until_ms)
    fleet.run(until_ms)


def crash_busiest(fleet):
    server = max(fleet.servers, key=lambda each: len(each.running))
    if server.is_up:
        fleet.crashes.append(fleet.now_ms)
        fleet.crash(server)


@then("no part was ever blocked")
@then("no request was ever blocked")
def step_never_blocked(context):
    for fleet in context.fleets:
        assert fleet.crashes and fleet.n_served
        assert not fleet.ever_blocked and not fleet.sound_rejected


@when("{s:d} s pass in which only bad requests arrive")
def step_only_bad(context, s):
    for fleet in context.fleets:
        fleet.n_crashes_before = len(fleet.crashes)
        until_ms = fleet.now_ms + s * 1_000
        fleet.send_bad_ones(context.choose, until_ms=until_ms)
        fleet.run(until_ms)


@when("a router starts and one of the others opens a link to it")
def step_start_router(context):
    context.started = []
    for fleet in context.fleets:
        started = build_detector("r-new", first_number=9)
        reports, _ = fleet.detectors[0].reports_after(-1, now_ms=fleet.now_ms)
        started.apply_reports(reports, now_ms=fleet.now_ms, source="link")
        context.started.append((started, fleet.now_ms))


@then("the router that has started blocks the bad part")
def step_started_blocks(context):
    for detector, now_ms in context.started:
        assert is_blocking(detector, now_ms)


@given("the only router that has seen three crashes under a part")
def step_only_router(context):
    context.detector = build_detector("r-1", first_number=1)
    crash_under_bad_part(context.detector, at_ms=(1_000, 2_000, 3_000))


@when("it starts again and a peer that it had told opens a link to it")
def step_starts_again(context):
    peer, started = build_detector("r-2"), build_detector("r-1", first_number=9)
    reports, _ = context.detector.reports_after(-1, now_ms=3_050.0)
    peer.apply_reports(reports, now_ms=3_050.0, source="r-1")
    told, _ = peer.reports_after(
        -1, now_ms=3_500.0, exclude_link="r-1", include_relayed=False
    )
    started.apply_reports(told, now_ms=3_500.0, source="r-2")
    context.started = [(started, 3_500.0)]


@when("{n:d} servers crash at once")
def step_many_crashes(context, n):
    for number in range(n):
        key = (f"e-many-{number}", 0)
        context.detector.record_crash(key, (number, 7), 5_000.0)


@then("the detector holds at most {n:d} crashes and still blocks the part")
def step_bounded_crashes(context, n):
    assert context.detector.n_crashes <= n, context.detector.n_crashes
    assert is_blocking(context.detector, 5_100.0)


@when("the part is sound again, and its requests go on for {s:d} s")
def step_sound_again(context, s):
    for fleet in context.fleets:
        send_sound_again(context, fleet, s)


@when(
    "the part is sound again, and its requests go on at one of the routers for {s:d} s"
)
def step_sound_at_one(context, s):
    # A router of its own in each fleet: at most one of them can be the first by rank.
    for number, fleet in enumerate(context.fleets):
        send_sound_again(context, fleet, s, routers=[number])


def send_sound_again(context, fleet, s, *, routers=None):
    fleet.bad_parts = set()
    until_ms = fleet.now_ms + s * 1_000
    fleet.n_reached_before = len(fleet.bad_reached)
    fleet.send_bad_ones(context.choose, until_ms=until_ms, routers=routers)
    fleet.run(until_ms)


@then("no router blocks the part")
def step_released(context):
    for fleet in context.fleets:
        assert fleet.find_blocking(BAD) == []


@then("at most 1 of them was at an engine before all others were let through")
def step_one_trial(context):
    for fleet in context.fleets:
        reached = fleet.bad_reached[fleet.n_reached_before :]
        assert len(reached) > 2, "no request was let through"
        # An answer takes some hundred milliseconds at least, then the others know.
        first_ms = reached[0]
        early = [at_ms for at_ms in reached if at_ms < first_ms + 300]
        assert len(early) == 1, early


@then("the trials were 1 at a time, at least 60 s apart and at most {n:d}")
def step_rare_trials(context, n):
    for fleet in context.fleets:
        times = fleet.crashes[fleet.n_crashes_before :]
        gaps = [later - at_ms for at_ms, later in pairwise(times)]
        assert 0 < len(times) <= n and min(gaps, default=60_000) >= 60_000, times


@given("a router that has seen no crash")
def step_fresh(context):
    context.detector = build_detector("r-1")


@when(
    "{n:d} servers crash within {ms:d} ms under a part that no request was served with"
)
def step_crash_at_once(context, n, ms):
    crash_under_bad_part(
        context.detector, at_ms=[1_000 + number * ms / n for number in range(n)]
    )
    context.now_ms = 1_200.0


@when("5 servers crash within 300 ms, two of them 90 ms after another one")
def step_crash_at_two_moments(context):
    crash_under_bad_part(context.detector, at_ms=(1_000, 1_010, 1_070, 1_250, 1_300))
    context.now_ms = 1_400.0


@then("it blocks the bad part")
def step_blocks_bad(context):
    assert is_blocking(context.detector, context.now_ms)


@when('three servers crash while they begin answers to the prompts "{prompts}"')
def step_crash_under_prompts(context, prompts):
    from damaskrill.steering import short_id

    for number in range(3):
        for prompt in prompts.replace("#", str(number)).split(","):
            parts = [short_id(part) for part in prompt.split()]
            key, now_ms = (f"e-{number}", 0), 1_000.0 * number
            context.detector.record_crash(key, parts, now_ms)
    context.now_ms = 2_100.0


@when("two servers crash under a part, it is served, and a third one crashes later")
def step_served_between(context):
    from damaskrill.steering import short_id

    crash_under_bad_part(context.detector, at_ms=(1_000, 2_000))
    context.detector.record_served([short_id(BAD)], 3_000.0)
    context.detector.record_crash(("e-9", 0), (short_id(BAD),), 9_000.0)
    context.now_ms = 9_100.0


@then("it blocks nothing")
def step_blocks_nothing(context):
    assert not context.detector.take_changes(context.now_ms).blocked


@then('it blocks only the part "{part}"')
def step_blocks_only(context, part):
    from damaskrill.steering import short_id

    blocked = context.detector.take_changes(context.now_ms).blocked
    assert blocked == {short_id(part)}, blocked


@given("{n:d} routers before {servers:d} plain servers that may crash under requests")
def step_plain_fleets(context, n, servers):
    context.fleets = build_fleets(n, servers, SEEDS)
    for fleet in context.fleets:
        fleet.bad_requests = {BAD_REQUEST}
        until_ms = N_BEFORE_MS + ARRIVAL_MS
        fleet.every(SOUND_PER_S, fleet.send_sound_read, until_ms=until_ms)
        fleet.run(N_BEFORE_MS)


@when(
    "a request that crashes servers comes {per_s:d} times a second "
    "among sound ones for 40 s"
)
def step_bad_request(context, per_s):
    until_ms = N_BEFORE_MS + ARRIVAL_MS
    for fleet in context.fleets:
        fleet.every(
            per_s,
            lambda each=fleet: each.send_plain(BAD_REQUEST),
            until_ms=until_ms,
        )
        fleet.run(until_ms)


def find_third_crash(fleet):
    return fleet.crashes[min(THIRD, len(fleet.crashes)) - 1]


@then(
    "at most {n:d} such requests reach a server "
    "later than {s:d} s after the third crash"
)
def step_n_late_requests(context, n, s):
    check_n_late(context, n, find_third_crash, s)


@then("no sound read is rejected later than {s:d} s after the third crash")
def step_no_read_rejected(context, s):
    check_none_rejected(context, find_third_crash, s)


@when("sound reads arrive for 40 s and {fault}")
def step_plain_fault(context, fault):
    step_other_fault(context, fault)


@then("reads were served and no request was ever blocked")
def step_no_request_blocked(context):
    for fleet in context.fleets:
        assert fleet.n_served > ARRIVAL_MS / 1_000 * SOUND_PER_S / 4, fleet.n_served
        assert not fleet.ever_blocked, fleet.ever_blocked


@then("fewer than 1 in 100 sound reads are rejected, and none is blocked at last")
def step_few_rejected(context):
    n_reads = ARRIVAL_MS / 1_000 * SOUND_PER_S
    for fleet in context.fleets:
        assert len(fleet.sound_rejected) < n_reads / 100, len(fleet.sound_rejected)
        fleet.run(fleet.now_ms + RELEASE_MS)
        for detector in fleet.detectors:
            detector.take_changes(fleet.now_ms)
            assert not detector._blocked, detector._blocked


@when("three servers crash under a request, and break off others for 3 s afterwards")
def step_dead_servers(context):
    record = context.detector.record_crash
    keys = [(f"e-{number}", 0) for number in range(3)]
    for number, key in enumerate(keys):
        at_ms = 1_000.0 + 60 * number
        record(key, (), at_ms, request=BAD_REQUEST, waited_ms=40)
    for at_ms in range(1_700, 4_700, 50):
        for key in keys:
            record(key, (), float(at_ms), request=1_001, waited_ms=2)
    context.now_ms = 4_700.0


@then("it blocks only that request")
def step_blocks_only_request(context):
    changes = context.detector.take_changes(context.now_ms)
    assert changes.blocked == changes.requests == {BAD_REQUEST}, changes


@when(
    "a request that crashes servers comes every {s:g} s among sound ones, {n:d} times"
)
def step_rare_request(context, s, n):
    for fleet in context.fleets:
        until_ms = fleet.now_ms + n * s * 1_000
        fleet.every(RARE_PER_S, fleet.send_sound_read, until_ms=until_ms)
        for number in range(n):
            fleet.at(number * s * 1_000, fleet.send_plain, BAD_REQUEST)
        fleet.run(until_ms)


@when("sound reads arrive for {s:d} s, and a server crashes every {pause:d} s")
def step_reads_now_and_then(context, s, pause):
    for fleet in context.fleets:
        until_ms = fleet.now_ms + s * 1_000
        fleet.every(SOUND_PER_S, fleet.send_sound_read, until_ms=until_ms)
        crash_now_and_then(fleet, pause, until_ms)


@when(
    "a server crashes under {n:d} requests, {n_served:d} of which are served 10 s later"
)
def step_crash_under_many(context, n, n_served):
    detector = context.detector
    for request in range(1, n + 1):
        detector.record_crash(("e-1", 0), (), 0.0, request=request, waited_ms=40)
    context.last_request = n
    for request in range(1, n_served + 1):
        detector.record_served([request], 10_000.0)


@then("{s:d} s after the crash one crash with one request is remembered")
def step_one_remembered(context, s):
    detector, now_ms = context.detector, s * 1_000.0
    detector.take_changes(now_ms)
    reports, _ = detector.reports_after(-1, now_ms=now_ms)
    crashes = [each for each in reports if isinstance(each, CrashReport)]
    assert [each.request for each in crashes] == [context.last_request], crashes
    context.now_ms = now_ms


@then("{s:d} s after the last of them is served none is remembered")
def step_none_remembered(context, s):
    detector, now_ms = context.detector, context.now_ms
    detector.record_served([context.last_request], now_ms)
    detector.take_changes(now_ms + s * 1_000)
    assert detector.n_crashes == 0, detector.n_crashes

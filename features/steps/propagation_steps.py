"""Steps for the distribution of texts to every router."""

from behave import given, then, when

from damaskrill.codec import message_to_map
from damaskrill.messages import (
    Member,
    RequestArrived,
    TextDelta,
    TextRefused,
    TextSection,
)
from damaskrill.propagation import TextStore
from features.support.builders import build_member, build_request
from features.support.faults import build_fleet_text
from features.support.pump import Pump

FIRST_ACTIVATION_MS = 6_000
ACTIVATION_TIMEOUT_MS = 7_000
CHANGE_INTERVAL_MS = 4_000


def build_members(n_members):
    centres = ("bole", "kazanchis", "sarbet")
    return [
        build_member(n, incarnation=f"p{n}", data_centre=centres[n % 3])
        for n in range(1, n_members + 1)
    ]


def versions(context):
    return {
        router.member.address: router.view.text.version
        for router in context.texts.live_routers
    }


def decider_of(router):
    deciders = router.kernel.deciders
    return next(each for each in deciders if type(each).__name__ == "TextPropagation")


def replace_router(pump, address, suffix):
    old = pump.routers[address].member
    pump.kill_router(address)
    pump.start_router(
        Member(
            address=address,
            data_centre=old.data_centre,
            incarnation=f"{old.incarnation}{suffix}",
        )
    )


def run_for(context, duration_ms):
    context.texts.run_until(context.texts.now_ms + duration_ms)


@given("{n_members:d} routers that read texts, seed {seed:d}")
def step_fleet(context, n_members, seed):
    members = build_members(n_members)
    context.texts = Pump(text=build_fleet_text(), members=members, random_state=seed)
    run_for(context, FIRST_ACTIVATION_MS)
    context.n_published = 1


@when("a new text is published")
def step_publish(context):
    context.n_published += 1
    context.texts.publish(build_fleet_text(marker=context.n_published))


@when("an invalid text is published")
def step_publish_invalid(context):
    context.n_published += 1
    context.texts.configuration.publish(build_fleet_text() + b"\n[service]\nkind = x\n")


@when("a text that equals the first one is published")
def step_publish_rollback(context):
    context.n_published += 1
    context.texts.publish(build_fleet_text())


@when("the configuration service goes down")
def step_down(context):
    context.texts.configuration.is_down = True


@when("the configuration service recovers")
def step_up(context):
    context.texts.configuration.is_down = False


@when("the configuration service serves version {version:d} again")
def step_stale(context, version):
    context.texts.configuration.serve_stale(version)


@when("it alternates between version {low:d} and the latest every second for {n:d} s")
def step_flip_flop(context, low, n):
    for turn in range(n):
        context.texts.configuration.serve_stale(low if turn % 2 else 0)
        run_for(context, 1_000)
    context.texts.configuration.serve_stale(0)


@when("the fleet that reads texts runs for {duration_ms:d} ms")
def step_run(context, duration_ms):
    run_for(context, duration_ms)


@when("all routers are replaced one by one, every {interval_ms:d} ms")
def step_replace_in_turn(context, interval_ms):
    for address in sorted(context.texts.routers):
        replace_router(context.texts, address, "-next")
        run_for(context, interval_ms)


@when("all routers are replaced simultaneously")
def step_replace_all(context):
    for address in sorted(context.texts.routers):
        replace_router(context.texts, address, "-next")


@when("readers {numbers} are partitioned from the other routers")
def step_cut(context, numbers):
    addresses = [build_member(int(n)).address for n in numbers.split(",")]
    context.texts.partition(addresses)


@when("the partition of the routers that read texts heals")
def step_heal(context):
    context.texts.heal()


@then("version {version:d} is active at every router")
def step_active(context, version):
    assert set(versions(context).values()) == {version}, versions(context)


@then("no router has ever activated an older text")
def step_never_reverts(context):
    for router in context.texts.routers.values():
        assert router.versions == sorted(router.versions), router.versions


@then("a change every 4 s for {duration_s:d} s is active everywhere within 7 s")
def step_changes(context, duration_s):
    pump = context.texts
    waiting = {}
    end_ms = pump.now_ms + duration_s * 1_000
    next_ms = pump.now_ms
    while pump.now_ms < end_ms or waiting:
        if next_ms <= pump.now_ms < end_ms:
            context.n_published += 1
            version = pump.publish(build_fleet_text(marker=context.n_published))
            waiting[version] = pump.now_ms
            next_ms += CHANGE_INTERVAL_MS
        run_for(context, 100)
        lowest = min(versions(context).values())
        for version in [each for each in waiting if each <= lowest]:
            del waiting[version]
        for version, at_ms in waiting.items():
            assert pump.now_ms - at_ms <= ACTIVATION_TIMEOUT_MS, (
                version,
                versions(context),
            )


@then("a request is refused because no router has a text")
def step_refused(context):
    pump = context.texts
    for n, router in enumerate(pump.live_routers):
        request = build_request(n, now_ms=pump.now_ms)
        pump.send_request(router, RequestArrived(request=request), request)
        (outcome,) = pump.requests[request.request_id].outcomes
        assert outcome.name == "not_run", outcome
        assert "has not read an operators' text" in outcome.sentence, outcome.sentence


@then("each router refused version {version:d} at most once, and one did")
def step_refused_once(context, version):
    refusals = [
        address
        for _, address, effect in context.texts.logged
        if isinstance(effect, TextRefused) and effect.version == version
    ]
    assert refusals and len(refusals) == len(set(refusals)), refusals


@then("the refusal of version {version:d} names a line")
def step_refusal_line(context, version):
    effects = [effect for _, _, effect in context.texts.logged]
    refusal = next(each for each in effects if isinstance(each, TextRefused))
    line = int(refusal.faults[0].split(":")[1])
    assert line > 0, refusal


@then("each status line names version {version:d} on all known routers")
def step_status(context, version):
    for router in context.texts.live_routers:
        line = decider_of(router).status_line
        n_others = len(context.texts.live_routers) - 1
        expected = (
            f"text version {version} here; version {version} on {n_others}"
            if n_others
            else ""
        )
        assert line == expected, line


@then("in {duration_s:d} s the configuration service gets at most {n_calls:d} calls")
def step_calls(context, duration_s, n_calls):
    before = context.texts.configuration.n_calls
    run_for(context, duration_s * 1_000)
    n_done = context.texts.configuration.n_calls - before
    assert n_done <= n_calls, n_done


def build_large_text(n_servers, changed=-1):
    lines = ["[service dossier-review]", "kind = engine", ""]
    lines += ["[data_centre bole]", "in_service = yes", ""]
    for n in range(n_servers):
        load = 13 if n == changed else 12
        lines += [f"[backend_server engine-{n}]", "service = dossier-review"]
        lines += [f"address = 10.1.{n // 250}.{n % 250 + 1}:8000"]
        lines += ["data_centre = bole", f"bearable_load = {load}", ""]
    return "\n".join(lines).encode()


@given("a store with a text of {n_servers:d} backend servers")
def step_store(context, n_servers):
    context.first = build_large_text(n_servers)
    context.second = build_large_text(n_servers, changed=7)
    context.store = TextStore()
    context.store.apply_full_text(context.first, 1)


@given("a second store that is behind by one change")
def step_second_store(context):
    context.second_store = TextStore()
    context.second_store.apply_full_text(context.first, 1)
    context.store.apply_full_text(context.second, 2)


@when("the second store applies the changes")
def step_apply_delta(context):
    context.delta = context.store.delta_since(1)
    context.was_applied = context.second_store.apply_delta(context.delta)


@when("the second store applies the changes with one section damaged")
def step_apply_damaged(context):
    delta = context.store.delta_since(1)
    damaged = TextSection(
        header=delta.sections[0].header,
        content=delta.sections[0].content.replace(b"13", b"99"),
        version=2,
    )
    context.was_applied = context.second_store.apply_delta(
        TextDelta(base_version=1, version=2, digest=delta.digest, sections=(damaged,))
    )


@then("both stores hold the same text")
def step_same(context):
    assert context.was_applied
    assert context.store.text == context.second_store.text
    assert context.store.digest == context.second_store.digest


@then("the second store keeps its text and reports a digest mismatch")
def step_kept(context):
    assert not context.was_applied
    assert context.second_store.version == 1


@then("the changes are smaller than {percent:d} percent of the full text")
def step_small(context, percent):
    n_bytes = len(str(message_to_map(context.delta)))
    assert n_bytes * 100 < len(context.second) * percent, n_bytes

"""Steps for fleets with routers of the build before this one."""

import json
import time

import cbor2
from behave import given, then, when

from damaskrill.fakes.platform import build_configuration
from damaskrill.mesh import Hello, SlotBatch, StreamRecords, Update, decode, encode
from features.steps.gateway_decisions_steps import EMPTY_REPORTS, build_frames
from features.steps.gateway_stream_versions_steps import (
    resume_check,
    run_all,
    send_check,
)
from features.support.former_build import FormerRouter, echo_frames, read_kinds
from features.support.gateways import Caller, build_request

JOIN_S = 15
# Kinds of frames that have been added since the former build.
NEW_KINDS = (StreamRecords, SlotBatch)


@then("every kind of frame is the same after the former build has read and sent it")
def step_echo(context):
    frames = [each for each in build_frames() if not isinstance(each, NEW_KINDS)]
    echoed = echo_frames([encode(each) for each in frames])
    assert [decode(each) for each in echoed] == frames


@then("kinds of frames that the former build lacks are ignored by it")
def step_new_kinds(context):
    frames = [each for each in build_frames() if isinstance(each, NEW_KINDS)]
    assert frames
    kinds = read_kinds([encode(each) for each in frames])
    assert kinds == ["UnknownFrame"] * len(frames)


@when("a later build sends each kind of frame with further fields")
def step_later(context):
    context.frames = [each for each in build_frames() if len(encode(each)) < 1_500]
    context.decoded = [
        decode(cbor2.dumps([*extend_fields(cbor2.loads(encode(each))), {"new": 1}]))
        for each in context.frames
    ]


def extend_fields(content):
    """Append a field to the membership entries and the contact of an update."""
    if content[0] != "u":
        return content
    contact, entries, *others = content[3:]
    entries = [[*each, "new"] for each in entries]
    contact = contact and [*contact, "new"]
    return [*content[:3], contact, entries, *others]


@then("each is read as if they were not there")
def step_same(context):
    assert context.decoded == context.frames


@then("a frame of a new kind is ignored")
def step_new_kind(context):
    frame = decode(cbor2.dumps(["new", 5, [1]]))
    assert frame.kind == "new"


@then("reports that a peer leaves out are empty")
def step_left_out(context):
    for n_sent in range(len(EMPTY_REPORTS)):
        content = ["u", 0, 0, None, *EMPTY_REPORTS[:n_sent]]
        assert decode(cbor2.dumps(content)) == Update()
    assert isinstance(decode(encode(build_frames()[0])), Hello)


@given("{n:d} routers of the former build that join them")
def step_join(context, n):
    testbed = context.testbed
    seeds = ",".join(
        "{}:{}".format(*each._settings.peer_address) for each in testbed.gateways
    )
    context.former = []
    for number in range(n):
        router = FormerRouter(number=number, seeds=seeds, store=testbed.store.address)
        context.add_cleanup(router.close)
        context.former.append(router)


def events_of(router, event):
    lines = router.log.read_text(encoding="utf-8").splitlines()
    found = [json.loads(each) for each in lines if each.startswith("{")]
    return [each for each in found if each["event"] == event]


@then("all {n:d} routers are linked to the other {n_others:d}")
def step_linked(context, n, n_others):
    testbed = context.testbed
    for gateway in testbed.gateways:
        assert testbed.wait_for(
            lambda each=gateway: each._mesh.n_links == n_others, JOIN_S
        ), gateway._mesh.n_links
    for router in context.former:
        assert testbed.wait_for(
            lambda each=router: (
                [line["n_routers"] for line in events_of(each, "routers_known")][-1:]
                == [n]
            ),
            JOIN_S,
        )


class Address:
    """Stands for a gateway where only its address for callers is needed."""

    def __init__(self, address):
        self._settings = self
        self.caller_address = address


def by_build(context):
    former = [Address(each.callers) for each in context.former]
    return context.testbed.gateways, former


@when("{n:d} callers break their checks off at one build after 2 events")
def step_begin(context, n):
    builds = by_build(context)
    checks = [
        send_check(builds[number % 2][number // 2 % 2], number, n_events=2)
        for number in range(n)
    ]
    context.first = run_all(context, checks)
    assert all(each.body for each in context.first)


@when("these callers resume their checks at the other build")
def step_resume(context):
    builds = by_build(context)
    resumed = [
        resume_check(builds[(number + 1) % 2][number // 2 % 2], number, first)
        for number, first in enumerate(context.first)
    ]
    context.replies = run_all(context, resumed)
    context.streams = list(zip(context.first, context.replies, strict=True))


@when("the operators write a configuration with another route")
def step_route(context):
    content = build_configuration(version=7)
    route = next(each for each in content["routes"] if each["name"] == "r-read")
    content["routes"].append({**route, "name": "r-new", "prefix": "/new/"})
    context.written_at = time.monotonic()
    context.testbed.call(context.testbed.store.put, "op/config", content)


@then("all {n:d} routers have it in force within {limit_ms:d} ms")
def step_in_force(context, n, limit_ms):
    addresses = [
        each._settings.caller_address
        for each in [*by_build(context)[0], *by_build(context)[1]]
    ]
    assert len(addresses) == n

    async def is_served(address):
        caller = await Caller.open(address)
        caller.send(build_request("/new/1", method="GET", body=b"")[0])
        reply = await caller.read_reply()
        caller.close()
        return reply.status != 404

    missing = set(addresses)
    while missing and time.monotonic() - context.written_at < limit_ms / 1_000:
        for address in list(missing):
            if context.testbed.thread.run(is_served(address)):
                missing.discard(address)
    assert not missing, missing

"""Steps for the decisions of the entry router."""

import attrs
from behave import given, then, when

from damaskrill.configuration import DataCentreSpec, ServiceSpec
from damaskrill.messages import (
    AttemptEnded,
    AttemptProgress,
    BackendEnded,
    BackendFailed,
    DispatchAttempt,
    EventName,
    LoggedEvent,
    NotRun,
    OfferAttempt,
    PeerDelivered,
    PeerLost,
    PeerUnreachable,
    SendToPeer,
    StopRequested,
)
from features.support.builders import (
    build_member,
    build_request,
    build_server,
    build_text,
)
from features.support.single_router import SingleRouter


def build_services(n_servers, **fields):
    servers = [build_server(n + 1, **fields) for n in range(n_servers)]
    return build_text(servers=servers)


@given('a router that owns {n_servers:d} servers of "dossier-review"')
def step_single_router(context, n_servers):
    context.router = SingleRouter(text=build_services(n_servers))


@given("a service with a transitive dependency on a data centre out of service")
def step_dependent_router(context):
    servers = [
        build_server(1),
        build_server(2, service="band-plans"),
        build_server(3, service="registry", data_centre="sarbet"),
    ]
    services = [
        ServiceSpec(name="dossier-review", depends_on=("band-plans",)),
        ServiceSpec(name="band-plans", depends_on=("registry",)),
        ServiceSpec(name="registry"),
    ]
    text = build_text(servers=servers, services=services)
    centres = dict(text.data_centres)
    centres["sarbet"] = DataCentreSpec(name="sarbet", in_service=False)
    text = attrs.evolve(text, data_centres=centres)
    context.router = SingleRouter(text=text)


@given("an entry whose servers are owned by 2 other routers")
def step_entry_alone(context):
    servers = [
        build_server(1, data_centre="bole"),
        build_server(2, data_centre="sarbet"),
    ]
    others = (
        build_member(2, data_centre="bole"),
        build_member(3, data_centre="sarbet"),
    )
    context.others = {each.address: each for each in others}
    own = build_member(1, data_centre="kazanchis")
    context.router = SingleRouter(
        text=build_text(servers=servers), own=own, others=others
    )


@when("a repeatable request is routed")
@when("the entry routes a repeatable request")
def step_route_repeatable(context):
    context.router.route(build_request(1))


@when("an action is routed")
@when("the entry routes an action")
def step_route_action(context):
    context.router.route(build_request(1, repeatable=False))


@when("its server breaks off after {n_bytes:d} bytes of the answer")
def step_break_off(context, n_bytes):
    attempt_id = context.router.last(DispatchAttempt).attempt_id
    context.router.feed(
        BackendFailed(
            attempt_id=attempt_id, n_bytes=n_bytes, n_bytes_sent=100, reason="reset"
        )
    )


@when("its server refuses the connection")
def step_refuse_connection(context):
    attempt_id = context.router.last(DispatchAttempt).attempt_id
    context.router.feed(BackendFailed(attempt_id=attempt_id, reason="refused"))


@when("its server ends the answer with {n_bytes:d} bytes more")
def step_end_answer(context, n_bytes):
    attempt_id = context.router.last(DispatchAttempt).attempt_id
    context.router.feed(
        BackendEnded(attempt_id=attempt_id, n_bytes=n_bytes, digest="ab")
    )


@when("the reply to its attempt is received a second time")
def step_late_answer(context):
    attempt_id = context.router.last(DispatchAttempt).attempt_id
    late = AttemptEnded(attempt_id=attempt_id, n_bytes=7, digest="cd")
    context.router.feed(PeerDelivered(sender=build_member(2), payload=late))


@when("{n_requests:d} repeatable requests are routed and every attempt fails")
def step_all_fail(context, n_requests):
    router = context.router
    for n in range(n_requests):
        router.route(build_request(n))
        n_failed = 0
        while n_failed < len(router.all(DispatchAttempt)) and n_failed < 200:
            for each in router.all(DispatchAttempt)[n_failed:]:
                n_failed += 1
                router.feed(
                    BackendFailed(
                        attempt_id=each.attempt_id, n_bytes_sent=9, reason="x"
                    )
                )
        router.tick(400)
    context.n_requests = n_requests


@when("the router is asked to stop")
def step_stop(context):
    context.router.feed(StopRequested())


@when("its owner is lost after {n_bytes:d} bytes")
def step_owner_lost(context, n_bytes):
    sent = context.router.last(SendToPeer)
    context.first_owner = sent.address
    progress = AttemptProgress(attempt_id=sent.payload.attempt_id, n_bytes=n_bytes)
    context.router.feed(progress)
    context.router.feed(PeerLost(peer=context.others[sent.address]))


@when("its offer could not be sent")
def step_offer_unsent(context):
    sent = context.router.last(SendToPeer)
    context.first_owner = sent.address
    context.router.feed(PeerUnreachable(address=sent.address, payload=sent.payload))


@then("it is offered to the other router at offset {offset:d}")
def step_offered_to_other(context, offset):
    offers = [
        each
        for each in context.router.all(SendToPeer)
        if isinstance(each.payload, OfferAttempt)
    ]
    assert len(offers) == 2, offers
    assert offers[1].address != context.first_owner, offers
    assert offers[1].payload.resume_offset == offset, offers


@then("it is dispatched again to another server at offset {offset:d}")
def step_dispatched_again(context, offset):
    first, second = context.router.all(DispatchAttempt)
    assert first.backend_server != second.backend_server
    assert second.resume_offset == offset


@then('the routed outcome is "{name}" with {n_bytes:d} bytes')
def step_outcome_with_bytes(context, name, n_bytes):
    (outcome,) = context.router.outcomes
    assert (outcome.name, outcome.n_bytes) == (name, n_bytes), outcome


@then('the routed outcome is "{name}" because of "{codes}"')
def step_outcome_because(context, name, codes):
    (outcome,) = context.router.outcomes
    found = [cause.code.value for cause in outcome.causes]
    assert (outcome.name, found) == (name, codes.split(", ")), outcome


@then("there was {n:d} dispatch")
def step_n_dispatches(context, n):
    assert len(context.router.all(DispatchAttempt)) == n


@then("there were no dispatches")
def step_no_dispatches(context):
    assert not context.router.all(DispatchAttempt)


@then("there were 2 dispatches to different servers")
def step_two_dispatches(context):
    names = [each.backend_server for each in context.router.all(DispatchAttempt)]
    assert len(names) == len(set(names)) == 2, names


@then("{n:d} late answer was dropped")
def step_late_dropped(context, n):
    events = context.router.events(EventName.LATE_ANSWER_DROPPED)
    assert len(events) == n, events


@then("there were at most {n:d} retries")
def step_retries(context, n):
    n_dispatches = len(context.router.all(DispatchAttempt))
    assert n_dispatches <= context.n_requests + n, n_dispatches


@then('one refusal names "{code}"')
def step_refusal_names(context, code):
    codes = {
        cause.code.value for each in context.router.outcomes for cause in each.causes
    }
    assert code in codes, codes


@then('a further request is refused because of "{code}"')
def step_further_refused(context, code):
    context.router.route(build_request(2))
    outcome = context.router.outcomes[-1]
    assert isinstance(outcome, NotRun), outcome
    assert [cause.code.value for cause in outcome.causes] == [code], outcome
    assert all(
        isinstance(e, LoggedEvent) for e in context.router.events_of("request-2")
    )

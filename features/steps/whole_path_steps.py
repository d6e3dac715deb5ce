"""Steps for a fleet of routers with real sockets on loopback."""

import asyncio
import json

from behave import given, then, when

from damaskrill.demo import LoopbackFleet, call_router
from damaskrill.fakes import build_chat_answer
from damaskrill.monitoring import configure_logging
from features.support.reactor_thread import get_reactor_thread

SERVICE = "dossier-review"


def start_fleet(context, **parameters):
    thread = get_reactor_thread()
    from twisted.internet import reactor

    context.loop_thread = thread
    configure_logging(level="ERROR")
    context.fleet = LoopbackFleet(reactor=reactor, **parameters)
    context.add_cleanup(lambda: thread.run(context.fleet.stop()))
    thread.run(context.fleet.start())


def build_chat(n, *, stream, service=SERVICE, max_tokens=12):
    return {
        "model": service,
        "messages": [{"role": "user", "content": f"Review dossier {n} please."}],
        "stream": stream,
        "max_tokens": max_tokens,
    }


def send_chats(context, chats, *, is_concurrent, headers=None):
    ports = context.fleet.ports

    async def send_all():
        calls = [
            call_router(
                ports[n % len(ports)], "/v1/chat/completions", chat, headers=headers
            )
            for n, chat in enumerate(chats)
        ]
        if is_concurrent:
            return await asyncio.gather(*calls)
        return [await call for call in calls]

    context.chats = chats
    context.replies = context.loop_thread.run(send_all())


@given("a loopback fleet of {n_routers:d} routers and {n_engines:d} engines")
def step_fleet(context, n_routers, n_engines):
    start_fleet(context, n_routers=n_routers, n_engines=n_engines)


@given(
    "a loopback fleet of {n_routers:d} routers and {n_engines:d} engines with "
    "a capacity of {bearable_load:d} requests each"
)
def step_fleet_with_capacity(context, n_routers, n_engines, bearable_load):
    start_fleet(
        context,
        n_routers=n_routers,
        n_engines=n_engines,
        bearable_load=bearable_load,
    )


@when("a client sends {n_chats:d} streamed chats to the routers in turn")
def step_send_streamed(context, n_chats):
    chats = [build_chat(n, stream=True) for n in range(n_chats)]
    send_chats(context, chats, is_concurrent=False)


@when("a client sends {n_chats:d} unstreamed chats to the routers in turn")
def step_send_unstreamed(context, n_chats):
    chats = [build_chat(n, stream=False) for n in range(n_chats)]
    send_chats(context, chats, is_concurrent=False)


@when("clients send {n_chats:d} chats concurrently, every second one streamed")
def step_send_concurrently(context, n_chats):
    chats = [build_chat(n, stream=n % 2 == 0) for n in range(n_chats)]
    send_chats(context, chats, is_concurrent=True)


@when('a client sends a chat for the service "{service}"')
def step_send_for_service(context, service):
    send_chats(
        context, [build_chat(1, stream=False, service=service)], is_concurrent=False
    )


@then("each client has the byte-exact answer to its own chat")
def step_byte_exact(context):
    for chat, reply in zip(context.chats, context.replies):
        assert reply.outcome_name == "completed", (reply.status, reply.sentence)
        expected = build_chat_answer(json.dumps(chat).encode(), reply.request_id)
        assert reply.content == b"".join(expected), reply


@then('the HTTP status is {status:d} and the outcome is "{outcome}"')
def step_status_and_outcome(context, status, outcome):
    reply = context.replies[0]
    assert (reply.status, reply.outcome_name) == (status, outcome), reply


@then('the answer\'s sentence contains "{words}"')
def step_answer_sentence(context, words):
    assert words in context.replies[0].sentence, context.replies[0].sentence

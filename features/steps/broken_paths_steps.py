"""Steps for failures between caller and backend server."""

import asyncio
import http.client
import json

from behave import then, when

from damaskrill.demo import call_router
from features.steps.whole_path_steps import SERVICE, build_chat

POLL_S = 0.02
WAIT_S = 10
ACTION_PATH = "/v1/services/issuance"


@when("every engine aborts its next answer after {n_bytes:d} bytes")
def step_abort_answers(context, n_bytes):
    for engine in context.fleet.engines:
        engine.abort_next_after_bytes = n_bytes


@then("at least {n:d} stream was aborted and resumed")
def step_aborted_and_resumed(context, n):
    engines = context.fleet.engines
    assert sum(each.n_aborted for each in engines) >= n
    assert sum(each.n_resumed for each in engines) >= n


@when("engine {n:d} stops listening")
def step_engine_stops(context, n):
    context.loop_thread.run(context.fleet.engines[n - 1].stop())


@when("the action server stops listening")
def step_action_server_stops(context):
    context.loop_thread.run(context.fleet.action_server.stop())


@when("the action server loses its next reply")
def step_lose_reply(context):
    context.fleet.action_server.drops_next_reply = True


@when("the action server answers {status:d} to what it has run")
def step_action_status(context, status):
    context.fleet.action_server.status = status


@then("all {n:d} statuses are {status:d}")
def step_same_statuses(context, n, status):
    assert [each.status for each in context.replies] == [status] * n, context.replies


@when("a client closes the connection in the middle of a long stream")
def step_caller_disconnects(context):
    connection = http.client.HTTPConnection("127.0.0.1", context.fleet.ports[0])
    chat = build_chat(1, stream=True, max_tokens=2_000)
    connection.request("POST", "/v1/chat/completions", json.dumps(chat))
    response = connection.getresponse()
    assert response.read(10)
    response.close()
    connection.close()


async def wait_until(condition):
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(POLL_S)


@then("the request is cancelled at the engine")
def step_cancelled(context):
    engine = context.fleet.engines[0]
    context.loop_thread.run(wait_until(lambda: engine.n_cancelled == 1))
    assert engine.engine.load == 0


@when("a client sends one action with a permit to {n_times:d} routers in turn")
def step_send_action(context, n_times):
    ports = context.fleet.ports

    async def send():
        reply = await call_router(ports[0], "/v1/permits", {"service": "issuance"})
        headers = {"Damaskrill-Permit": json.loads(reply.content)["permit"]}
        body = {"channel": 7}
        return [
            await call_router(ports[n], ACTION_PATH, body, headers=headers)
            for n in range(n_times)
        ]

    context.replies = context.loop_thread.run(send())


@then('all {n:d} answers are the same bytes with outcome "{outcome}"')
def step_same_answers(context, n, outcome):
    replies = context.replies
    assert [each.outcome_name for each in replies] == [outcome] * n, replies
    assert len({each.content for each in replies}) == 1, replies
    assert replies[0].content, replies


@then('all {n:d} outcomes are "{outcome}"')
def step_same_outcomes(context, n, outcome):
    replies = context.replies
    assert [each.outcome_name for each in replies] == [outcome] * n, replies


@then("the action server has run {n:d} action")
@then("the action server has run {n:d} actions")
def step_n_runs(context, n):
    runs = context.fleet.action_server.service.runs
    assert sum(runs.values()) == n, runs


@when('a text is published that takes the data centre "{name}" out of service')
def step_take_data_centre_out(context, name):
    context.fleet.data_centres_out.add(name)
    context.fleet.publish_text()
    context.loop_thread.run(context.fleet.wait_until_ready())


@then('each answer states that the data centre "{name}" was taken out')
def step_states_taken_out(context, name):
    for reply in context.replies:
        words = f"data centre '{name}' was taken out by text version 2"
        assert words in reply.sentence, reply.sentence


def read_page(context, path):
    return context.loop_thread.run(call_router(context.fleet.ports[0], path))


@then('the status page contains "{words}"')
def step_status_page(context, words):
    page = read_page(context, "/status").content.decode()
    assert words in page, page


@then('the metrics page contains "{words}"')
def step_metrics_page(context, words):
    assert words in read_page(context, "/metrics").content.decode()


@then("the readiness page reports ready")
def step_readiness_page(context):
    reply = read_page(context, "/readyz")
    assert reply.status == 200 and json.loads(reply.content)["ready"], reply


@when("a long stream is open at each router and all routers but the last are stopped")
def step_stop_while_streaming(context):
    fleet = context.fleet
    context.chats = [
        build_chat(n, stream=True, max_tokens=200, service=SERVICE)
        for n in range(len(fleet.ports))
    ]

    async def run():
        calls = [
            asyncio.create_task(call_router(port, "/v1/chat/completions", chat))
            for port, chat in zip(fleet.ports, context.chats)
        ]
        await wait_until(lambda: sum(e.engine.load for e in fleet.engines) == 3)
        await asyncio.gather(*(router.stop() for router in fleet.routers[:-1]))
        return await asyncio.gather(*calls)

    context.replies = context.loop_thread.run(run())

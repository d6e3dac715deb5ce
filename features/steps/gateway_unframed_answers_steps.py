"""Steps for answers without a length or without an end, and for fatal prompt parts."""

from behave import given, then

ENGINES = ("e-1", "e-2")


@given("all servers send answers that end with their connection")
def step_unframed(context):
    for server in context.testbed.servers.values():
        server.is_unframed = True


@given('part "{part}" is fatal to both engines')
def step_fatal_part(context, part):
    context.crashed = []
    for name in ENGINES:
        server = context.testbed.servers[name]
        server.fatal_parts = {part}
        server.on_crash = lambda name=name: context.crashed.append(name)


@then("the reply is a failure within {limit_ms:d} ms")
def step_failure(context, limit_ms):
    assert context.reply.status in (502, 504), context.reply
    assert context.reply.elapsed_ms <= limit_ms, context.reply


@then("no server is still sending {delay_ms:d} ms later")
def step_not_sending(context, delay_ms):
    servers = context.testbed.servers.values()
    assert context.testbed.wait_for(
        lambda: not any(each._tasks for each in servers), timeout_s=delay_ms / 1_000
    )


@then("one of the engines has crashed")
def step_one_crashed(context):
    assert len(context.crashed) == 1, context.crashed

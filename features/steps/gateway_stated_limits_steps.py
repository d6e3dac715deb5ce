"""Steps for servers that limit the rate of their requests."""

from behave import when

from features.steps.gateway_leaving_and_pauses_steps import send_read


@when('server "{name}" states a limit of "{value}" requests a second')
def step_states_limit(context, name, value):
    context.testbed.servers[name].rate_limit = value.encode()


@when('server "{name}" states no limit any more')
def step_states_none(context, name):
    context.testbed.servers[name].rate_limit = None


@when('the first gateway gets reads until it has sent {n:d} to "{name}"')
def step_reads(context, n, name):
    server = context.testbed.servers[name]
    wanted = len(server.requests) + n

    def has_sent():
        send_read(context)
        return len(server.requests) >= wanted

    assert context.testbed.wait_for(has_sent)

"""Steps for empty lists in the operators' configuration."""

import json

from behave import given, then, when

from damaskrill.fakes.platform import build_configuration
from features.support.gateways import GatewayTestbed

DESK = {"name": "desk", "apiKeys": ["key-1"]}


@given("a platform with a server of each service")
def step_platform(context):
    testbed = context.testbed = GatewayTestbed()
    context.add_cleanup(testbed.close)
    testbed.configure()
    testbed.add_server("app-1", "app")
    testbed.add_server("pool-1", "pool")
    testbed.add_gateway(region_of={"bole": "addis"})
    testbed.wait_until_ready()


def put(context, content):
    testbed = context.testbed
    testbed.call(testbed.store.put, "op/config", content)
    assert testbed.wait_for(lambda: testbed.gateways[0]._catalog.text_version == 2)


@when("the operators' teams are {teams}")
def step_teams(context, teams):
    content = build_configuration(version=2)
    read = next(each for each in content["routes"] if each["name"] == "r-read")
    public = {**read, "name": "r-open", "prefix": "/open/", "public": True}
    content["routes"].append(public)
    if teams == "not named":
        del content["tenants"]
    else:
        content["tenants"] = json.loads(teams)
    put(context, content)


@when("the allowed regions of the {subject} are {regions}")
def step_regions(context, subject, regions):
    content = build_configuration(version=2, tenants=[dict(DESK)])
    (target,) = content["tenants"]
    if subject == "route":
        target = next(each for each in content["routes"] if each["name"] == "r-read")
    target["allowedRegions"] = json.loads(regions)
    put(context, content)


@then('reads with the keys "{keys}" are answered {statuses}')
def step_reads(context, keys, statuses):
    replies = [
        context.testbed.send("/read/1", key="" if key == "none" else key)
        for key in keys.split()
    ]
    assert [str(each.status) for each in replies] == statuses.split(), replies
    for each in replies:
        assert context.testbed.runs_of(each.request_id) == (each.status == 200)


@then("a read on a public route is answered 200")
def step_public(context):
    assert context.testbed.send("/open/1", key="").status == 200


@then("a read is answered {status:d}")
def step_read(context, status):
    reply = context.testbed.send("/read/1")
    assert reply.status == status, reply
    assert context.testbed.runs_of(reply.request_id) == (status == 200)

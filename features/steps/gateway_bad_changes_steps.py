"""Steps for changes of the store that a gateway cannot apply."""

from behave import given, then, when

from damaskrill.catalog import ServerItem
from damaskrill.fakes.platform import build_configuration, build_entry


def set_failing(context, name, *, is_failing):
    for gateway in context.testbed.gateways:
        catalog = gateway._catalog
        for method in ("put", "remove"):
            vars(catalog).pop(method, None)
            if is_failing:
                setattr(catalog, method, build_failing(getattr(catalog, method), name))


def build_failing(method, name):
    def fail(item, *args, **kwargs):
        if isinstance(item, ServerItem) and item.server_id == name:
            raise RuntimeError("this entry fails")
        return method(item, *args, **kwargs)

    return fail


@given("{n:d} more gateways that know the first one")
def step_more(context, n):
    testbed = context.testbed
    for _ in range(n):
        testbed.wait_until_ready(testbed.add_gateway(region_of={"bole": "addis"}))
    for gateway in testbed.gateways:
        assert testbed.wait_for(lambda each=gateway: each._mesh.n_links == n)


@given('changes of the entry "{name}" fail')
def step_fail(context, name):
    set_failing(context, name, is_failing=True)


@when('changes of the entry "{name}" no longer fail')
def step_no_longer(context, name):
    set_failing(context, name, is_failing=False)


@when('the entry "{name}" and a configuration without the key "{key}" are written')
def step_write(context, name, key):
    store = context.testbed.store
    content = build_configuration(version=2)
    content["tenants"][0]["apiKeys"].remove(key)

    def write():
        entry = build_entry(service="app", address=("127.0.0.1", 9))
        store.put(f"servers/{name}", entry)
        store.put("op/config", content)

    context.testbed.call(write)


@when('the entry "{name}" is removed')
def step_remove(context, name):
    testbed = context.testbed
    revision = testbed.call(testbed.store.delete, f"servers/{name}")
    for gateway in testbed.gateways:
        assert testbed.wait_for(lambda each=gateway: each._replica.revision >= revision)


@then('each gateway answers reads with "{key}" with {status:d} within {limit_ms:d} ms')
def step_answers(context, key, status, limit_ms):
    testbed = context.testbed
    for gateway in testbed.gateways:

        def has_status(each=gateway):
            reply = testbed.send("/read/1", key=key, gateway=each)
            return reply.status == status

        assert testbed.wait_for(has_status, limit_ms / 1_000)
        assert not gateway._stop_requested.is_set()


@then("each gateway logs that one change was not applied")
def step_logged(context):
    for log in context.testbed.logs:
        lines = [each for each in log.lines if each["event"] == "change_not_applied"]
        assert [each["key"] for each in lines] == ["servers/odd"], lines


@then("each gateway has applied all changes within {limit_ms:d} ms")
def step_applied(context, limit_ms):
    testbed = context.testbed
    for gateway in testbed.gateways:
        assert testbed.wait_for(
            lambda each=gateway: each._applier.n_failed == 0, limit_ms / 1_000
        )


@then('no gateway knows a server "{name}"')
def step_unknown(context, name):
    for gateway in context.testbed.gateways:
        servers = gateway._catalog.find_all_servers("app")
        assert name not in {each.server_id for each in servers}

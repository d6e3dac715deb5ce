"""Steps for servers that answer before they have taken the whole request."""

from behave import given, then, when

from damaskrill.fakes.platform import build_configuration, build_entry
from features.support.gateways import PROMPT, GatewayTestbed
from features.support.upload_servers import BODY, UploadServer

N_SERVERS = 2
MAX_BODY_BYTES = 8_000_000
# Requests after which the sound one of three servers has been needed.
MAX_READS = 8
PATHS = {"action": "/issue/1", "read": "/read/1", "stream": "/chat/1"}
ENDS = {
    "end the connection in order": {"ends_in_order": True},
    "end in order and reset it": {"ends_in_order": True, "resets": True},
    "reset it": {"ends_in_order": False, "resets": True},
}


@given("a platform with app servers that answer uploads of their own way")
def step_platform(context):
    context.testbed = testbed = GatewayTestbed()
    context.add_cleanup(testbed.close)
    limits = {**build_configuration()["limits"], "maxBodyBytes": MAX_BODY_BYTES}
    testbed.configure(limits=limits)
    context.upload_servers = []


def add_servers(context, **options):
    testbed = context.testbed
    for service in ("app", "pool"):
        for number in range(N_SERVERS):
            server = UploadServer(**options)
            testbed.call(server.start)
            context.add_cleanup(testbed.call, server.close)
            context.upload_servers.append(server)
            server_id = f"{service}-{number}"
            content = build_entry(service=service, address=server.address)
            testbed.entries[server_id] = content
            testbed.call(testbed.store.put, f"servers/{server_id}", content)
    testbed.wait_until_ready()


@given("the app servers answer at once, send half of the body, and {end}")
def step_half(context, end):
    add_servers(context, share=0.5, **ENDS[end])


@given(
    "the app servers read the upload, send the body, and end the connection in order"
)
def step_sound(context):
    add_servers(context, reads_first=True)


@given("the app servers answer at once, with a length, and read on")
def step_with_length(context):
    add_servers(context, has_length=True, ends_in_order=False)


@given("the app servers read the upload and answer with status {status}")
def step_status(context, status):
    add_servers(context, reads_first=True, has_length=True, status=status)


@given("a sound app server")
def step_sound_server(context):
    context.testbed.add_server("a-sound", "app")
    context.testbed.wait_until_ready()


def upload(context, kb, request):
    headers = [PROMPT] if request == "stream" else []
    return context.testbed.send(PATHS[request], body=b"u" * kb * 1_000, headers=headers)


@when("a caller uploads {kb:d} kB as an {request}")
def step_upload(context, kb, request):
    context.reply = upload(context, kb, request)


@when("a caller uploads {kb:d} kB as a read until the sound one was needed")
def step_upload_reads(context, kb):
    sound = context.testbed.servers["a-sound"]
    for _ in range(MAX_READS):
        context.reply = upload(context, kb, "read")
        if context.reply.is_complete and sound.runs[context.reply.request_id]:
            break
    context.sound_body = b'{"answer": "%b"}' % context.reply.request_id.encode()


@then("the answer is a failure or ends early")
def step_failure(context):
    reply = context.reply
    assert not (reply.status == 200 and reply.is_complete), (reply, len(reply.body))
    assert reply.status in (0, 200, 502, 504), reply


@then("the request has run at most {n:d} times")
def step_runs(context, n):
    runs = [each for server in context.upload_servers for each in server.runs]
    assert runs.count(context.reply.request_id) <= n, runs


@then("the answer is complete, with the whole body")
def step_complete(context):
    expected = getattr(context, "sound_body", BODY)
    reply = context.reply
    assert reply.status == 200 and reply.is_complete, reply
    assert reply.body == expected, reply


@then("the caller gets status {status:d} without a seal")
def step_no_status(context, status):
    assert context.reply.status == status, context.reply
    assert "damaskrill-response-seal" not in context.reply.headers, context.reply

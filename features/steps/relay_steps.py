"""Steps for the entry's side of the relay, without sockets."""

import xxhash
from behave import given, then, when

from damaskrill.messages import AnswerHead, AttemptEnded
from damaskrill.relay import AnswerCache, CachedAnswer, EntryRelay

PEER = "10.0.0.2:7000"
EVENT_STREAM = "text/event-stream"
JSON = "application/json"


class ListSink:
    """Sink that collects the bytes it receives."""

    def __init__(self, *, is_stream):
        self.is_stream = is_stream
        self.data = b""

    def begin(self, status, content_type):
        pass

    def write(self, data):
        self.data += data

    def restart(self):
        if self.is_stream:
            return False
        self.data = b""
        return True


def open_request(context, request_id, attempt_id, *, is_stream, is_cacheable=False):
    sink = ListSink(is_stream=is_stream)
    context.sinks[request_id] = sink
    context.relay.open_request(request_id, sink, is_cacheable=is_cacheable)
    context.relay.bind(request_id, attempt_id, peer=PEER)
    content_type = EVENT_STREAM if is_stream else JSON
    context.content_type = content_type
    head = AnswerHead(stream_id=attempt_id, content_type=content_type)
    context.relay.handle_head(head)


def start_relay(context):
    context.answer_cache = AnswerCache()
    context.relay = EntryRelay(answer_cache=context.answer_cache)
    context.sinks = {}


@given('a relay with a streamed request "{request_id}" bound to attempt "{attempt_id}"')
def step_relay_streamed(context, request_id, attempt_id):
    start_relay(context)
    open_request(context, request_id, attempt_id, is_stream=True)


@given(
    'a relay with an unstreamed request "{request_id}" bound to attempt "{attempt_id}"'
)
def step_relay_unstreamed(context, request_id, attempt_id):
    start_relay(context)
    open_request(context, request_id, attempt_id, is_stream=False)


@given('a relay with an action "{request_id}" bound to attempt "{attempt_id}"')
def step_relay_action(context, request_id, attempt_id):
    start_relay(context)
    open_request(context, request_id, attempt_id, is_stream=False, is_cacheable=True)


@given('a streamed request "{request_id}" bound to attempt "{attempt_id}"')
def step_further_request(context, request_id, attempt_id):
    open_request(context, request_id, attempt_id, is_stream=True)


@when('"{data}" arrives for "{attempt_id}" at offset {offset:d}')
def step_chunk(context, data, attempt_id, offset):
    context.relay.handle_chunk(attempt_id, offset, data.encode())


@when('the request "{request_id}" is bound to attempt "{attempt_id}"')
def step_bind(context, request_id, attempt_id):
    context.relay.bind(request_id, attempt_id, peer=PEER)


@then('binding "{request_id}" to attempt "{attempt_id}" returns offset {offset:d}')
def step_bind_offset(context, request_id, attempt_id, offset):
    assert context.relay.bind(request_id, attempt_id, peer=PEER) == offset
    head = AnswerHead(stream_id=attempt_id, content_type=context.content_type)
    context.relay.handle_head(head)


@then('the caller of "{request_id}" has "{data}"')
def step_caller_has(context, request_id, data):
    assert context.sinks[request_id].data == data.encode()


@then("{n_chunks:d} chunk was dropped")
def step_dropped(context, n_chunks):
    assert context.relay.n_dropped_chunks == n_chunks


def check_end(context, attempt_id, data):
    digest = xxhash.xxh3_128(data.encode()).hexdigest()
    ended = AttemptEnded(attempt_id=attempt_id, n_bytes=len(data), digest=digest)
    return type(context.relay.check_end(ended)).__name__


@then('the owner\'s end of "{attempt_id}" with the bytes "{data}" is a failure')
def step_end_fails(context, attempt_id, data):
    assert check_end(context, attempt_id, data) == "AttemptFailed"


@then('the owner\'s end of "{attempt_id}" with the bytes "{data}" is an end')
def step_end_holds(context, attempt_id, data):
    assert check_end(context, attempt_id, data) == "AttemptEnded"


@then('the answer to "{request_id}" can still become complete')
def step_not_corrupt(context, request_id):
    assert not context.relay.is_corrupt(request_id)


@then('the answer to "{request_id}" can no longer become complete')
def step_corrupt(context, request_id):
    assert context.relay.is_corrupt(request_id)


@then('the progress of the router "{address}" is {n_bytes:d} bytes of "{attempt_id}"')
def step_progress(context, address, n_bytes, attempt_id):
    progress = context.relay.progress_from(address)
    assert [(each.attempt_id, each.n_bytes) for each in progress] == [
        (attempt_id, n_bytes)
    ]


@when('the answer to "{request_id}" is complete')
def step_complete(context, request_id):
    context.relay.close_request(request_id, is_complete=True)


@when('"{request_id}" is answered with the cached answer of "{earlier_id}"')
def step_replay_cached(context, request_id, earlier_id):
    open_request(context, request_id, f"{request_id}.none", is_stream=False)
    context.relay.open_request(request_id, context.sinks[request_id])
    context.relay.replay_cached(request_id, context.answer_cache.get(earlier_id))


@when("{n:d} answers of {size:d} bytes are cached within {bound:d} bytes")
def step_cache_many(context, n, size, bound):
    context.cache = AnswerCache(max_n_bytes=bound)
    for k in range(n):
        answer = CachedAnswer(
            status=200, content_type=JSON, content=b"x" * size, digest=str(k)
        )
        context.cache.put(f"r{k}", answer)
    context.n_stored_answers = n
    assert context.cache.n_bytes <= bound


@then("only the newest {n:d} of them are still cached")
def step_still_cached(context, n):
    cached = [
        k
        for k in range(context.n_stored_answers)
        if context.cache.get(f"r{k}") is not None
    ]
    assert cached == list(range(context.n_stored_answers - n, context.n_stored_answers))

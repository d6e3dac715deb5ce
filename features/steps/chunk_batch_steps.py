"""Steps for frames that contain chunks of several streams."""

import cbor2
from behave import given, then, when

from damaskrill.exceptions import PeerFrameError
from damaskrill.peers._frames import Chunk, decode_frame, encode_frame, join_chunks

CHUNK_BATCH_KIND = 6


@given("chunks of {n:d} streams that were queued together")
def step_chunks(context, n):
    context.chunks = tuple(
        Chunk(stream_id=f"r{k}.1", offset=10 * k, data=b"x" * k) for k in range(n)
    )


@when("they are joined into one frame and decoded")
def step_join(context):
    content = join_chunks([encode_frame(each) for each in context.chunks])
    context.batch = decode_frame(content)


@then("the batch contains the same chunks in the same order")
def step_same_chunks(context):
    assert context.batch.chunks == context.chunks
    assert decode_frame(encode_frame(context.batch)) == context.batch


@then("a batch that contains a payload is refused")
def step_refused(context):
    content = cbor2.dumps([CHUNK_BATCH_KIND, [2, {"type": "Hail"}, b""]])
    try:
        decode_frame(content)
    except PeerFrameError:
        return
    raise AssertionError("the batch was accepted")

"""Client that sends one request on a connection of its own."""

import asyncio
from collections.abc import Sequence

import h11
from attrs import define, field

__all__ = ["Answer", "send"]

READ_BYTES = 65_536


@define
class Answer:
    """What a client has received so far; status 0 if no head arrived."""

    status: int = 0
    headers: dict[str, str] = field(factory=dict)
    body: bytes = b""
    is_complete: bool = False


async def send(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: Sequence[tuple[str, str]],
    *,
    timeout_s: float,
    body: bytes = b"",
    answer: Answer | None = None,
) -> Answer:
    """Send a request and return what arrived until its end, a break or the timeout."""
    answer = answer or Answer()
    http = h11.Connection(h11.CLIENT)
    head = h11.Request(
        method=method,
        target=path,
        headers=[*headers, ("Content-Length", str(len(body)))],
    )
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            for event in (head, h11.Data(data=body), h11.EndOfMessage()):
                writer.write(http.send(event) or b"")
            while not answer.is_complete:
                match http.next_event():
                    case h11.NEED_DATA:
                        http.receive_data(await reader.read(READ_BYTES))
                    case h11.Response() as response:
                        answer.status = response.status_code
                        answer.headers = {
                            name.decode(): value.decode()
                            for name, value in response.headers
                        }
                    case h11.Data(data=data):
                        answer.body += bytes(data)
                    case h11.EndOfMessage():
                        answer.is_complete = True
                    case h11.ConnectionClosed():
                        break
    except (OSError, TimeoutError, h11.RemoteProtocolError):
        # What arrived before is in the answer.
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer

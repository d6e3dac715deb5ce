"""Metadata from the headers of requests and answers, under the product's names."""

from attrs import frozen

from damaskrill.steering._server_allowance import ServerGrant
from damaskrill.steering._server_load import ServerLoad
from damaskrill.utils import hash_to_int

__all__ = ["AnswerMetadata", "Hop", "PromptPart", "RequestMetadata"]

FINGERPRINT_MASK = 0xFFFF_FFFF


@frozen(kw_only=True)
class PromptPart:
    """Part of a prompt that several requests may share.

    Parameters
    ----------
    part_id : str
        Identifier of its content.
    n_tokens : int
        Length in tokens.
    """

    part_id: str
    n_tokens: int


@frozen(kw_only=True)
class Hop:
    """What a router says of a request that it sends through another one.

    Parameters
    ----------
    proof : str
        What the receiver has told its peers only; empty if the sender does not know it.
    text_version : int
        Version of the configuration that the sender has in force.
    grant : ServerGrant or None
        How many servers the sender allows; None if it does not say.
    """

    proof: str = ""
    text_version: int = 0
    grant: ServerGrant | None = None


@frozen(kw_only=True)
class RequestMetadata:
    """Metadata that determines how a request is routed.

    Parameters
    ----------
    request_id : str
        The caller's identifier of this attempt; empty if it gave none.
    host, path : str
        Host and path that select the route.
    key : str or None
        Secret that identifies the caller's team.
    deadline_ms : int or None
        How long the caller waits from the request's arrival, in milliseconds.
    content_hash : int
        Hash of host, target and body, which stay the same when the request comes again.
    prompt : tuple of PromptPart
        Parts of the prompt in order; the last one is the request's own.
    n_prompt_tokens, n_output_tokens : int
        Length of the prompt, and the maximum length of the output; 0 if unknown.
    length_hint : int or None
        The caller's estimate of the output's length in tokens; None if it gave none.
    last_event_id : int or None
        Last event that the caller already received of a stream that it resumes.
    resumed_request_id : str
        Attempt that brought the first event of the stream; empty if it gave none.
    hop : Hop or None
        What another router that sent it says, if it is one; None for a request that
        does not claim to come from a router.
    """

    request_id: str = ""
    host: str = ""
    path: str = ""
    key: str | None = None
    deadline_ms: int | None = None
    content_hash: int = 0
    prompt: tuple[PromptPart, ...] = ()
    n_prompt_tokens: int = 0
    n_output_tokens: int = 0
    length_hint: int | None = None
    last_event_id: int | None = None
    resumed_request_id: str = ""
    hop: Hop | None = None

    @property
    def is_relayed(self) -> bool:
        """Whether another router sent it, which cannot reach the servers."""
        return self.hop is not None

    @property
    def min_text_version(self) -> int:
        """Version of the configuration that the router which sent it has in force."""
        return self.hop.text_version if self.hop else 0

    @property
    def grant(self) -> ServerGrant | None:
        """How many servers the router which sent it allows; None if it does not say."""
        return self.hop.grant if self.hop else None

    @property
    def is_resumed(self) -> bool:
        """Whether the caller resumes a stream that an earlier attempt began."""
        return self.last_event_id is not None or bool(self.resumed_request_id)

    @property
    def stream_id(self) -> str:
        """Attempt that began the stream; the request itself if it does not resume."""
        return self.resumed_request_id or self.request_id

    @property
    def last_part_id(self) -> str:
        """ID of the last part of the prompt; empty if there is none."""
        return self.prompt[-1].part_id if self.prompt else ""

    def fingerprint_for(self, team: str) -> int:
        """Return what the request has in common with itself when it comes again.

        Parameters
        ----------
        team : str
            Name of the caller's team; empty if it has none.

        Returns
        -------
        int
            Short hash of content, team and shared parts of the prompt. The request's ID
            and the last part of its prompt may differ each time.
        """
        parts = ",".join(part.part_id for part in self.prompt[:-1])
        return hash_to_int(f"{self.content_hash} {team} {parts}") & FINGERPRINT_MASK

    @property
    def affinity_keys(self) -> tuple[str, ...]:
        """Shared parts of the prompt, the most widely shared first.

        Notes
        -----
        The last shared part differs between documents; the parts before it are shared
        by the prompts of many documents. A prompt of one part is its own key.
        """
        shared = self.prompt[:-1] or self.prompt
        return tuple(part.part_id for part in shared)


@frozen(kw_only=True)
class AnswerMetadata:
    """Metadata of a backend server's answer, apart from its status.

    Parameters
    ----------
    request_id : str or None
        Request that is answered.
    is_not_run : bool
        Whether the server states that it has not run the request and will not run it.
    is_other_server : bool
        Whether a server other than the selected one answered.
    is_sealed : bool
        Whether the answer carries the server's proof of origin.
    is_encoded : bool
        Whether the body has a content encoding, that is, is not as the server made it.
    load : ServerLoad or None
        Load that the server states.
    is_leaving : bool
        Whether the server announces that it leaves.
    pause_ms : float or None
        Time for which the server wants no requests from this router, in milliseconds.
    limit_per_s : float or None
        Requests per second that the server takes from all routers together; None if it
        states no limit.
    rejections_per_s : float or None
        Rejections per second that the server bears; None if it does not say that it is
        brittle.
    grant : ServerGrant or None
        Which servers a request has reached through the router that answers, and how
        many it may still reach; None if a server answers or it is not known.
    """

    request_id: str | None = None
    is_not_run: bool = False
    is_other_server: bool = False
    is_sealed: bool = False
    is_encoded: bool = False
    load: ServerLoad | None = None
    is_leaving: bool = False
    pause_ms: float | None = None
    limit_per_s: float | None = None
    rejections_per_s: float | None = None
    grant: ServerGrant | None = None

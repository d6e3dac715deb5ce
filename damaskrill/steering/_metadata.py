"""What the headers of requests and answers say, under the product's names."""

from attrs import frozen

__all__ = ["AnswerMetadata", "PromptPart", "RequestMetadata"]


@frozen(kw_only=True)
class PromptPart:
    """Part of a prompt that requests may share.

    Parameters
    ----------
    part_id : str
        Identity of its content.
    n_tokens : int
        Its length.
    """

    part_id: str
    n_tokens: int


@frozen(kw_only=True)
class RequestMetadata:
    """What decides on a request.

    Parameters
    ----------
    request_id : str
        The caller's name for this attempt; empty if it gave none.
    host, path : str
        What selects the route.
    key : str or None
        Secret that names the caller's team.
    deadline_ms : int or None
        How long the caller waits from the request's arrival, in milliseconds.
    prompt : tuple of PromptPart
        Parts of the prompt in order; the last one is the request's own.
    n_prompt_tokens, n_output_tokens : int
        Size of the prompt, and the most that may be generated; 0 if not known.
    last_event_id : int or None
        Last event that the caller already has of a stream that it resumes.
    """

    request_id: str = ""
    host: str = ""
    path: str = ""
    key: str | None = None
    deadline_ms: int | None = None
    prompt: tuple[PromptPart, ...] = ()
    n_prompt_tokens: int = 0
    n_output_tokens: int = 0
    last_event_id: int | None = None

    @property
    def affinity_keys(self) -> tuple[str, ...]:
        """Parts of the prompt that requests share, the widest shared first.

        Notes
        -----
        The last shared part separates dossiers; what comes before it is shared by
        many of them. A prompt of one part is its own key.
        """
        shared = self.prompt[:-1] or self.prompt
        return tuple(part.part_id for part in shared)


@frozen(kw_only=True)
class AnswerMetadata:
    """What a backend server's answer says beside its status.

    Parameters
    ----------
    request_id : str or None
        Request that it answers.
    is_not_run : bool
        Whether the server states that it has not run the request and will not.
    is_other_server : bool
        Whether another server than the chosen one has answered.
    is_sealed : bool
        Whether it carries the server's proof that it made the answer.
    is_encoded : bool
        Whether the body is not as the server made it.
    load : tuple of (int, int) or None
        Requests that run at the server and that wait there.
    """

    request_id: str | None = None
    is_not_run: bool = False
    is_other_server: bool = False
    is_sealed: bool = False
    is_encoded: bool = False
    load: tuple[int, int] | None = None

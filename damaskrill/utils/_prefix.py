"""Hashes of the prefix blocks of a prompt."""

import xxhash

__all__ = ["count_prompt_tokens", "hash_prefix_blocks"]

# Blocks are measured in characters, since the router has no tokenizers of the models.
BLOCK_CHARACTERS = 256
CHARACTERS_PER_TOKEN = 4
# More blocks hardly improve the choice of an engine, but each is sent over the wire.
MAX_BLOCKS = 128


def hash_prefix_blocks(prompt: str) -> tuple[int, ...]:
    """Hash each complete block of a prompt together with all preceding blocks.

    Parameters
    ----------
    prompt : str
        Prompt to hash.

    Returns
    -------
    tuple of int
        64-bit hashes of at most ``MAX_BLOCKS`` blocks.

    Examples
    --------
    >>> from damaskrill.utils import hash_prefix_blocks
    >>> first = hash_prefix_blocks("a" * 256)
    >>> first == hash_prefix_blocks("a" * 512)[:1]
    True
    """
    n_blocks = min(len(prompt) // BLOCK_CHARACTERS, MAX_BLOCKS)
    state = xxhash.xxh3_64()
    hashes = []
    for n in range(n_blocks):
        block = prompt[n * BLOCK_CHARACTERS : (n + 1) * BLOCK_CHARACTERS]
        state.update(block.encode("utf-8", "surrogatepass"))
        hashes.append(state.intdigest())
    return tuple(hashes)


def count_prompt_tokens(prompt: str) -> int:
    """Estimate the number of tokens of a prompt from its length."""
    return len(prompt) // CHARACTERS_PER_TOKEN + 1

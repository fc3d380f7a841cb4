"""The shared prompt parts of a run, and where it runs."""

from __future__ import annotations

import hashlib

import attrs

# Longest id of a part that is kept as it is; a longer one is replaced by a hash.
MAX_ID_LENGTH = 16
HASH_BYTES = 8


@attrs.frozen
class PromptParts:
    """The shared parts of a prompt at a service, model and software version.

    Whether a part crashes an engine depends on the software and on the weights, so
    what is known of a part holds only where all of them are the same.

    Attributes
    ----------
    scope
        Service and model.
    version
        Software version of the upstream.
    account
        Client account that sent the request; empty on public routes.
    ids
        Part ids, each once.
    """

    scope: str
    version: str
    account: str
    ids: tuple[str, ...]


def prompt_scope(service: str, model: str) -> str:
    """Return a name of a service and a model.

    Examples
    --------
    >>> prompt_scope("pool", "m")
    'pool m'
    """
    return f"{service} {model}"


def part_key(part_id: str) -> str:
    """Return a short form of a part id, which is the same in any letter case.

    Examples
    --------
    >>> part_key("DEADbeef")
    'deadbeef'
    >>> len(part_key("f" * 64))
    16
    """
    lowered = part_id.lower()
    if len(lowered) <= MAX_ID_LENGTH:
        return lowered
    return hashlib.blake2b(lowered.encode(), digest_size=HASH_BYTES).hexdigest()

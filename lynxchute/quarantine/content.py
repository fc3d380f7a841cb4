"""Identify requests by content, so that retries are recognised."""

from __future__ import annotations

import hashlib

# Bytes of an id: enough that nobody can find another request with the same id.
DIGEST_BYTES = 16


def content_id(
    *, account: str, method: str, host: str, target: str, body: bytes
) -> str:
    """Return an id of the content of a request, the same for each attempt.

    Parameters
    ----------
    account
        Name of the client account; empty on public routes. It is part of the content,
        so that no account can have another one's request refused.

    Examples
    --------
    >>> question = dict(account="a", method="POST", host="h", target="/", body=b"x")
    >>> content_id(**question) == content_id(**question)
    True
    >>> content_id(**question) == content_id(**{**question, "account": "b"})
    False
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (account, method, host, target):
        encoded = field.encode()
        # The length prefix keeps adjacent fields from running into each other.
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(body)
    return digest.hexdigest()

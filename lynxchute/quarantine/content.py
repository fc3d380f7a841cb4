"""Tell whether two attempts ask for the same thing."""

from __future__ import annotations

import hashlib

# Bytes of an id: so many that nobody finds another request with the same one.
DIGEST_BYTES = 16


def content_id(
    *, account: str, method: str, host: str, target: str, body: bytes
) -> str:
    """Return what names the content of a request, whatever its attempt is called.

    Parameters
    ----------
    account
        Name of the client account; empty on public routes. The same words of another
        account are another request: no caller can have another's refused.

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
        # With its length before it no field can run into the next one.
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(body)
    return digest.hexdigest()

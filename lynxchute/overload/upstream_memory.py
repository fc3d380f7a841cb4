"""Bound what an upstream holds of requests by what it has been seen to bear."""

from __future__ import annotations

import attrs

# The share of what an upstream held when it ended that it is given from then on. It
# may have ended for another reason, and others may have sent to it as well.
BORNE_SHARE = 0.8
# Bytes at which nobody ends for want of memory.
LEAST_BYTES = 65536
# Requests without an end after which the learned bound grows by a hundredth, so that
# one wrong guess does not last.
GROW_AFTER = 50
GROWTH = 1.01


@attrs.define(eq=False)
class _Upstream:
    """What one upstream holds, and what it may.

    Attributes
    ----------
    named, learned
        Bytes that it says it bears, and that it is taken to bear; 0 where unknown.
    served
        Requests that ended well since the learned bound last changed.
    """

    held: int = 0
    named: int = 0
    learned: int = 0
    served: int = 0

    @property
    def bound(self) -> int:
        """Return the bytes that it may hold; 0 where nothing is known."""
        known = [size for size in (self.named, self.learned) if size]
        return min(known, default=0)


class UpstreamMemory:
    """Say whether an upstream may take a request beside those that it holds.

    The load that it answers: long requests that meet on one upstream, which crashes
    with all of them. A caller is better served by another upstream, or a moment later.
    """

    def __init__(self) -> None:
        self._by_id: dict[str, _Upstream] = {}

    def note_named(self, upstream_id: str, size: int) -> None:
        """Take what an upstream says that it bears, in bytes; 0 takes that back."""
        self._upstream(upstream_id).named = size

    def may_take(self, upstream_id: str, size: int) -> bool:
        """Return whether a request of some bytes may be sent.

        One that is alone is always let through: nobody else would fare better.
        """
        upstream = self._upstream(upstream_id)
        if not upstream.held or not upstream.bound:
            return True
        return upstream.held + size <= upstream.bound

    def note_sent(self, upstream_id: str, size: int) -> None:
        """Note that an upstream holds a request."""
        self._upstream(upstream_id).held += size

    def record_end(self, upstream_id: str, size: int) -> None:
        """Note that an upstream is done with a request."""
        upstream = self._upstream(upstream_id)
        upstream.held = max(upstream.held - size, 0)
        upstream.served += 1
        if upstream.learned and upstream.served >= GROW_AFTER:
            upstream.learned = int(upstream.learned * GROWTH)
            upstream.served = 0

    def note_crashed(self, upstream_id: str) -> None:
        """Note that an upstream ended without notice, with all that it held."""
        upstream = self._upstream(upstream_id)
        held, upstream.held = upstream.held, 0
        if held < LEAST_BYTES:
            return
        borne = int(held * BORNE_SHARE)
        upstream.learned = min(upstream.learned or borne, borne)
        upstream.served = 0

    def forget(self, upstream_id: str) -> None:
        """Forget an upstream that is gone."""
        self._by_id.pop(upstream_id, None)

    def _upstream(self, upstream_id: str) -> _Upstream:
        return self._by_id.setdefault(upstream_id, _Upstream())

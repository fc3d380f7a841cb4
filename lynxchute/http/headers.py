"""HTTP headers."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

RawHeaders = Iterable[tuple[bytes, bytes]]
HeaderItems = Iterable[tuple[str | bytes, str | bytes]]

# RFC 9110, section 7.6.1, and legacy headers that proxies also strip.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class Headers(Mapping[str, str]):
    """Headers of a message, by lower-case name.

    A lookup returns the first value of a repeated header.

    Parameters
    ----------
    raw
        Names and values in the order and spelling of the message.

    Examples
    --------
    >>> headers = Headers([(b"X-Id", b"7"), (b"x-id", b"8")])
    >>> headers["x-id"], headers.count("x-id")
    ('7', 2)
    """

    __slots__ = ("_by_name", "_names", "raw")

    def __init__(self, raw: RawHeaders = ()) -> None:
        self.raw = tuple(raw)
        # Parallel to `raw`.
        self._names = [name.decode("latin-1").lower() for name, _ in self.raw]
        self._by_name: dict[str, str] = {}
        for key, (_, value) in zip(self._names, self.raw, strict=True):
            if key not in self._by_name:
                self._by_name[key] = value.decode("latin-1")

    def __getitem__(self, name: str) -> str:
        return self._by_name[name]

    def __iter__(self) -> Iterator[str]:
        return iter(self._by_name)

    def __len__(self) -> int:
        return len(self._by_name)

    def count(self, name: str) -> int:
        """Return how many times a header occurs."""
        return self._names.count(name)

    def end_to_end(self, dropped: frozenset[str]) -> list[tuple[bytes, bytes]]:
        """Return the headers that a proxy forwards.

        Parameters
        ----------
        dropped
            Lower-case names of further headers to remove.
        """
        connection_options = self._by_name.get("connection", "").lower().split(",")
        excluded = HOP_BY_HOP | dropped | {name.strip() for name in connection_options}
        kept = []
        for name, item in zip(self._names, self.raw, strict=True):
            if name not in excluded:
                kept.append(item)
        return kept


def encode_headers(headers: HeaderItems) -> list[tuple[bytes, bytes]]:
    """Return the headers encoded as bytes."""
    raw = []
    for name, value in headers:
        raw.append((_to_bytes(name), _to_bytes(value)))
    return raw


def _to_bytes(text: str | bytes) -> bytes:
    return text.encode("latin-1") if isinstance(text, str) else text

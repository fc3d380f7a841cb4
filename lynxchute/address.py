"""TCP addresses with a numeric IP."""

from __future__ import annotations

import ipaddress
import re
from typing import Any, ClassVar

import attrs

PORT = re.compile(r"[0-9]{1,5}", re.ASCII)


@attrs.frozen
class Address:
    """An IPv4 address and a TCP port.

    Examples
    --------
    >>> Address.parse("127.0.0.1:8100")
    Address(host='127.0.0.1', port=8100)
    """

    ADVICE: ClassVar[str] = "Write it as '127.0.0.1:8100'."

    host: str
    port: int

    @classmethod
    def parse(cls, value: Any) -> Address:
        """Return the address parsed from text such as ``127.0.0.1:8100``.

        Raises
        ------
        ValueError
            If the text is not an IPv4 address with a port.
        """
        host, colon, port = str(value).rpartition(":")
        if not colon or not PORT.fullmatch(port) or int(port) > 65535:
            raise ValueError(f"{value!r} is no address")
        try:
            ipaddress.IPv4Address(host)
        except ValueError as error:
            raise ValueError(f"{value!r} is no address: {error}") from error
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

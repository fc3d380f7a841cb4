"""What operators may do."""

from __future__ import annotations

import enum


class Role(enum.Enum):
    """What an operator's key permits; each role includes those before it."""

    READ = "read"
    OPERATE = "operate"
    CONFIGURE = "configure"

"""Roles that limit what operators may do."""

from __future__ import annotations

import enum


class Role(enum.Enum):
    """Permissions of an operator's key; each role includes those before it."""

    READ = "read"
    OPERATE = "operate"
    CONFIGURE = "configure"

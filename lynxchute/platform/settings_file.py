"""Read the settings file that the environment names."""

from __future__ import annotations

import os
from pathlib import Path

from expression import Error, Result

from lynxchute.edge.settings import EdgeSettings
from lynxchute.platform.settings import SETTINGS_VARIABLE, decode_settings


def settings_path() -> Path:
    """Return where the settings file is."""
    return Path(os.environ.get(SETTINGS_VARIABLE, ""))


def read_settings(path: Path) -> Result[EdgeSettings, tuple[str, ...]]:
    """Return the settings in a file, or everything that is wrong with them."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error((f"cannot be read: {error}. Set {SETTINGS_VARIABLE}.",))
    return decode_settings(text, os.environ)


def stamp(path: Path) -> object:
    """Return what tells one state of a file from the next."""
    try:
        status = path.stat()
    except OSError as error:
        return str(error)
    return (status.st_mtime_ns, status.st_size, status.st_ino)

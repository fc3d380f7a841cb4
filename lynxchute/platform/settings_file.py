"""Find and read the settings file named by an environment variable."""

from __future__ import annotations

import os
from pathlib import Path

from expression import Error, Result

from lynxchute.edge.settings import EdgeSettings
from lynxchute.platform.settings import SETTINGS_VARIABLE, decode_settings


def settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(SETTINGS_VARIABLE, ""))


def read_settings(path: Path) -> Result[EdgeSettings, tuple[str, ...]]:
    """Return the settings in a file, or a list of all errors in them."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error((f"cannot be read: {error}. Set {SETTINGS_VARIABLE}.",))
    return decode_settings(text, os.environ)


def file_state(path: Path) -> object:
    """Return a value that changes whenever the file changes."""
    try:
        status = path.stat()
    except OSError as error:
        return str(error)
    return (status.st_mtime_ns, status.st_size, status.st_ino)

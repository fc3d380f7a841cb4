"""Versions that stay ordered when the store comes back from a copy.

A store that comes back from a copy gives version numbers out again, and counts in its
answers how often that has happened: its era. All versions in this program combine the
era and the number, so that each version of a later era is greater than all earlier
ones.
"""

from __future__ import annotations

import attrs

from lynxchute.telemetry.log import log_event

# Far more numbers than a store gives out: a thousand a second for 8,900 years.
NUMBER_BITS = 48
NUMBER_MASK = (1 << NUMBER_BITS) - 1


def join_version(era: int, number: int) -> int:
    """Return the version of a number given out in an era; 0 means no version.

    Examples
    --------
    >>> join_version(0, 7), join_version(3, 0)
    (7, 0)
    >>> join_version(1, 7) > join_version(0, 900)
    True
    """
    return era << NUMBER_BITS | number if number else 0


def era_of(version: int) -> int:
    """Return the era in which a version was given out."""
    return version >> NUMBER_BITS


def number_of(version: int) -> int:
    """Return the number of a version, as the store itself knows it."""
    return version & NUMBER_MASK


@attrs.define
class StoreEra:
    """The newest era of the store that this process has heard of.

    Attributes
    ----------
    current
        The era; 0 as long as no answer has named one.
    """

    current: int = 0
    _is_known: bool = False

    def observe(self, era: int) -> bool:
        """Record the era of an answer; return whether the answer is of the newest."""
        if era < self.current:
            return False
        if era > self.current:
            if self._is_known:
                log_event("store came back from a copy", era=era, before=self.current)
            self.current = era
        self._is_known = True
        return True

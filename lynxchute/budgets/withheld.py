"""Tokens withheld because routers that died around a restore may have used them."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

# First character of the keys of withheld tokens in a totals row, where the other keys
# are names of VMs. Builds that do not know them count them as one more VM's grant.
KEY_PREFIX = "!"


@attrs.frozen
class Withheld:
    """Identifies tokens that are withheld from all routers.

    Attributes
    ----------
    era
        The era of the store that began with the restore.
    vms
        VMs whose routers may have used the tokens since the copy was made.
    """

    era: int
    vms: tuple[str, ...]

    @property
    def key(self) -> str:
        """Return the key in the totals row.

        Examples
        --------
        >>> Withheld(2, ("x", "y")).key
        '!2:x,y'
        """
        return f"{KEY_PREFIX}{self.era}:{','.join(self.vms)}"

    @classmethod
    def parse(cls, key: str) -> Withheld:
        """Parse a key of a totals row.

        Raises
        ------
        ValueError
            If the key does not begin with an era.

        Examples
        --------
        >>> Withheld.parse("!2:x,y")
        Withheld(era=2, vms=('x', 'y'))
        """
        era, _, vms = key.removeprefix(KEY_PREFIX).partition(":")
        return cls(int(era), tuple(vms.split(",")))

    @classmethod
    def of(cls, era: int, vms: Iterable[str]) -> Withheld:
        """Return the identifier for VMs in any order."""
        return cls(era, tuple(sorted(vms)))

    def without(self, vm: str) -> Withheld:
        """Return a copy that does not name a VM."""
        return Withheld(self.era, tuple(name for name in self.vms if name != vm))

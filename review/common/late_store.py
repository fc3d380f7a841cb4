"""A store that does some registrations late, without an answer."""

import asyncio

from lynxchute.standins.platform_store import PlatformStoreStandin

# Seconds by which lost writes are late: platform_lost, late, is done 1 to 6 s later.
LATE_SECONDS = 5.0


class LateStore(PlatformStoreStandin):
    """Does the next registration of some routers late, without an answer."""

    late_vms = frozenset()
    write_times = ()
    late_times = ()

    def late_share(self, seconds=4.5):
        """Return the share of late writes in the span that begins with the first."""
        if not self.late_times:
            return 0.0
        first = self.late_times[0]
        count = sum(first <= at < first + seconds for at in self.write_times)
        assert self.late_times[-1] < first + seconds
        return len(self.late_times) / count

    async def _write(self, faults, request, respond):
        body = request.json()
        now = asyncio.get_running_loop().time()
        self.write_times = (*self.write_times, now)
        for put in body.get("puts") or []:
            vm = put["key"].removeprefix("router/")
            if put["table"] != "fleet" or vm not in self.late_vms:
                continue
            self.late_vms -= {vm}
            self.late_times = (*self.late_times, now)
            self.on_late(vm)
            task = asyncio.create_task(self._write_late(body, LATE_SECONDS))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            respond.abort()
            return
        await super()._write(faults, request, respond)

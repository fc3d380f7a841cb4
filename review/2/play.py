"""All routers are killed while the store is down: what was paid is gone for good."""

import asyncio
import signal
from pathlib import Path

from review.common import scene as common

FOLDER = Path(__file__).parent
ROUTERS = 3
REPLICAS = 3
EVENTS = 20
PAUSE_MS = 20
# Tokens of a request: its prompt, and the most that its answer can have.
PROMPT, MOST = 1460, 60
TENANTS = ("kanda", "hule", "niko")
REQUESTS_PER_SECOND = 30
# Seconds from the start of traffic.
DOWN_AT, DOWN_SECONDS = 10.0, 4.45
# The operator's change is sent; the final fault strikes shortly after.
CHANGE_AT, KILL_AT = 14.3, 14.4
AWAY_SECONDS = 1.2
END_AT = 38.0
RECOVERY_SECONDS = 12.0
# The budgets are such that all requests together fit into 97 in 100 of them.
FITTING_SHARE = 0.97


async def play(scene):
    trouble = common.has_trouble()
    store = scene.store
    for number in range(REPLICAS):
        own_id, port = f"i-{number}", scene.free_port()
        arguments = [port, own_id, scene.folder / "runs.txt", EVENTS, PAUSE_MS, 0]
        command = ["python3", "-m", "review.common.replica", *map(str, arguments)]
        await scene.spawn(command, f"{own_id}.log")
        await common.register_replica(store, own_id, "pool", common.ZONES[number], port)
    count = int(END_AT * REQUESTS_PER_SECOND)
    each = -(-count // len(TENANTS))
    prepaid = int((each + 1) * (PROMPT + MOST) / FITTING_SHARE) + 1
    document = common.configuration()
    document["tenants"] = [
        {"name": name, "api_keys": [f"key-of-{name}"], "priority": 1, "prepaid": prepaid}
        for name in TENANTS
    ]
    await store.configure(document)
    scene.record(f"prepaid: {prepaid} tokens for each of {TENANTS}")
    routers = [common.Router(scene, number) for number in range(ROUTERS)]
    for router in routers:
        await router.start()
    for router in routers:
        await router.wait_ready()
    await asyncio.sleep(2.0)
    loop = asyncio.get_running_loop()
    start = loop.time()
    back_at = KILL_AT
    # Tokens at their most of all requests that a replica may have run, by tenant.
    most_used = dict.fromkeys(TENANTS, 0)

    async def one(number):
        at = number / REQUESTS_PER_SECOND
        await asyncio.sleep(max(start + at - loop.time(), 0))
        tenant = TENANTS[number % len(TENANTS)]
        request_id = f"q{number}"
        headers = common.request_headers(
            request_id, 12000, (PROMPT, MOST), f"key-of-{tenant}"
        )
        port = routers[(number // len(TENANTS)) % ROUTERS].front
        try:
            answer = await common.exchange(port, "POST", "/ask/x", headers, b"prompt")
            status = answer.status if answer.is_complete else 0
        except (OSError, EOFError, TimeoutError):
            status = 0
        # A request that was refused has not run.
        if status not in (402, 503):
            most_used[tenant] += PROMPT + MOST
        scene.record(f"{request_id} of {tenant}, sent at {at:.2f} s: {status or 'no answer'}")
        return at, status

    async def disrupt():
        nonlocal back_at
        if not trouble:
            return
        await asyncio.sleep(DOWN_AT)
        scene.record("the store is down")
        for faults in store.faults_by_port.values():
            faults.outage = common.Outage.SILENT
        await asyncio.sleep(CHANGE_AT - DOWN_AT)
        scene.record("the operator sends version 2; the store does not answer yet")
        await asyncio.sleep(KILL_AT - CHANGE_AT)
        for router in routers:
            router.process.send_signal(signal.SIGKILL)
        scene.record("all routers are killed")
        await asyncio.sleep(DOWN_AT + DOWN_SECONDS - KILL_AT)
        for faults in store.faults_by_port.values():
            faults.outage = common.Outage.NONE
        await store.configure({**document, "version": 2})
        scene.record("the store is back and has accepted version 2")
        await asyncio.sleep(AWAY_SECONDS)
        for router in routers:
            await router.process.wait()
            await router.start()
        for router in routers:
            await router.wait_ready()
        back_at = loop.time() - start
        scene.record(f"the routers are back, {back_at:.2f} s after the start of traffic")

    *results, _ = await asyncio.gather(*(one(n) for n in range(count)), disrupt())
    for line in (scene.folder / "runs.txt").read_text().splitlines():
        scene.record(f"run {line}")
    for router in routers:
        for event in router.events("budgets taken over"):
            scene.record(f"{router.vm} takes over, as used: {event['used_by_account']}")
    before = [status for at, status in results if at < DOWN_AT]
    after = [status for at, status in results if at > back_at + RECOVERY_SECONDS]
    served_before, served_after = before.count(200), after.count(200)
    for tenant in TENANTS:
        share = most_used[tenant] / prepaid
        scene.record(f"{tenant}: requests that may have run make {share:.2f} of the prepaid")
    by_status = {status: after.count(status) for status in sorted(set(after))}
    scene.record(f"served before the fault: {served_before} of {len(before)}")
    scene.record(f"sent later than 12 s after: {by_status}; served {served_after} of {len(after)}")
    print(f"before {served_before}/{len(before)}, after {served_after}/{len(after)} {by_status}")
    if served_before < len(before) / 4 or max(most_used.values()) > FITTING_SHARE * prepaid:
        return common.COULD_NOT_RUN
    return 1 if served_after < len(after) / 4 else 0


common.run(play, FOLDER)

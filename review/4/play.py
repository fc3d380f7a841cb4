"""Streams of an outage cannot be taken up again once all routers have died."""

import asyncio
import signal
from pathlib import Path

from review.common import scene as common

FOLDER = Path(__file__).parent
ROUTERS = 4
VERSIONS = ("v1", "v1", "v2", "v2")
EVENTS, PAUSE_MS = 60, 100
STREAMS = 40
DEADLINE_MS = 15000
# Seconds from the start of the play.
DOWN_AT, DOWN_SECONDS = 0.0, 4.45
FIRST_AT, KILL_AT = 2.4, 4.4
AWAY_SECONDS = 1.0
CONTACT_SECONDS = 3.0


async def play(scene):
    trouble = common.has_trouble()
    store = scene.store
    for number, version in enumerate(VERSIONS):
        own_id, port = f"i-{number}", scene.free_port()
        arguments = [port, own_id, scene.folder / "runs.txt", EVENTS, PAUSE_MS, 0]
        command = ["python3", "-m", "review.common.replica", *map(str, arguments)]
        await scene.spawn(command, f"{own_id}.log")
        zone = common.ZONES[number % len(common.ZONES)]
        await common.register_replica(store, own_id, "pool", zone, port, version=version)
    await store.configure(common.configuration())
    routers = [common.Router(scene, number) for number in range(ROUTERS)]
    for router in routers:
        await router.start()
    for router in routers:
        await router.wait_ready()
    await asyncio.sleep(3.5)
    loop = asyncio.get_running_loop()
    answers = {}

    async def attempt(request_id, router, deadline_ms, more=()):
        headers = common.request_headers(request_id, deadline_ms, (400, 3 * EVENTS))
        reader, writer = await asyncio.open_connection("127.0.0.1", router.front)
        answer = answers[request_id] = common.Answer(0, {})
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                await common.exchange(
                    0, "POST", "/ask/x", [*headers, *more], b"prompt",
                    connection=(reader, writer), answer=answer,
                )
        except (OSError, EOFError, TimeoutError):
            pass
        finally:
            writer.close()
        return answer

    async def first(number):
        """Begin a stream; without trouble its client leaves as it would break off."""
        request_id = f"first-{number}"
        began = loop.time()
        router = routers[number % ROUTERS]
        task = asyncio.create_task(attempt(request_id, router, DEADLINE_MS))
        await asyncio.wait([task], timeout=KILL_AT - FIRST_AT)
        if not trouble:
            task.cancel()
        return request_id, began

    start = loop.time()
    if trouble:
        scene.record("the store is down")
        for faults in store.faults_by_port.values():
            faults.outage = common.Outage.SILENT
    await asyncio.sleep(FIRST_AT)
    begun = [asyncio.create_task(first(number)) for number in range(STREAMS)]
    await asyncio.sleep(max(start + KILL_AT - loop.time(), 0))
    if trouble:
        for router in routers:
            router.process.send_signal(signal.SIGKILL)
        scene.record("all routers are killed")
        await asyncio.sleep(max(start + DOWN_AT + DOWN_SECONDS - loop.time(), 0))
        for faults in store.faults_by_port.values():
            faults.outage = common.Outage.NONE
        scene.record("the store is back")
        await asyncio.sleep(AWAY_SECONDS)
        for router in routers:
            await router.process.wait()
            await router.start()
        for router in routers:
            await router.wait_ready()
    scene.record("the routers are ready")
    await asyncio.sleep(CONTACT_SECONDS + 0.5)
    scene.record("clients take their streams up again; new streams begin")

    async def again(task, number):
        request_id, began = await task
        left_ms = int(DEADLINE_MS - (loop.time() - began) * 1000)
        last = max(common.event_ids(answers[request_id].body), default=0)
        more = [("Last-Event-Id", str(last)), ("Resumes", request_id)]
        router = routers[(number + 1) % ROUTERS]
        answer = await attempt(f"again-{number}", router, left_ms, more if last else ())
        ids = common.event_ids(answer.body)
        scene.record(
            f"{request_id} broke after event {last}; again-{number}, with {left_ms} ms left: "
            f"{answer.status}, events {ids[0] if ids else '-'} to {ids[-1] if ids else '-'}"
            f" {answer.body[:160] if answer.status != 200 else ''}"
        )
        return last, answer.status == 200 and ids[:1] == [last + 1]

    async def new(number):
        answer = await attempt(f"new-{number}", routers[number % ROUTERS], 9000)
        return answer.status == 200

    results, fresh = await asyncio.gather(
        asyncio.gather(*(again(task, number) for number, task in enumerate(begun))),
        asyncio.gather(*(new(number) for number in range(STREAMS))),
    )
    taken_up = [went_on for last, went_on in results if last]
    went_on, began = sum(taken_up), sum(fresh)
    scene.record(f"taken up again: {went_on} of {len(taken_up)} go on")
    scene.record(f"new streams: {began} of {STREAMS} begin")
    print(f"taken up again: {went_on} of {len(taken_up)}, new: {began} of {STREAMS}")
    if len(taken_up) < 12 or not began:
        return common.COULD_NOT_RUN
    return 1 if went_on / len(taken_up) < 0.5 * began / STREAMS else 0


common.run(play, FOLDER)

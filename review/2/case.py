"""A planned stop of one machine while it writes answers over a link of 20 Mbit/s. See claim.txt."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from world import CLOSED, Caller, SlowLink, World, now, request, route, run_script  # noqa: E402

HOST = "portal.example"
ZONES = {"harju-a": "harju", "tartu-a": "tartu", "parnu-a": "parnu"}
# Bounds of the site, and times of the run, in seconds.
GRACE, STABLE, LOSS_SLACK = 6.0, 8.0, 0.2
DEADLINE_MS = 10_000
LINK_BITS_PER_S = 20_000_000
WORK, SENT_AFTER, CONSUMERS = 0.45, 2.9, 5
BODY = os.urandom(240_000)


async def main(trouble, record):
    world = World(ZONES, config_ms=6000, drain_ms=6000)
    try:
        return await play(world, trouble)
    finally:
        world.write_record(record)
        await world.close()


async def play(world, trouble):
    await world.start([1, 1, 1])
    for zone in ZONES:
        await world.add_server("member-desk", zone, work=WORK, capacity=6, respond=lambda request: BODY)
    await world.write_config(7, [route("profile-fetch", HOST, "/profile/", service="member-desk",
                                       timeout_ms=DEADLINE_MS, slo_ms=1_000)])
    for machine in world.machines:
        machine.start()
    for machine in world.machines:
        assert await machine.wait_ready(), "a machine isn't ready"
    await asyncio.sleep(STABLE + 1)
    stopped = world.machines[0]
    # The machine's own link: it carries what goes to consumers, with a small window.
    link = await SlowLink(stopped.ip, stopped.front, LINK_BITS_PER_S, window=8192).start()
    # These consumers keep a response of the directory three times as long as it says.
    callers = [Caller(world, stopped.zone, keeps=3) for _ in range(CONSUMERS)]
    for caller in callers:
        await caller.resolve(HOST)
        assert stopped.front in caller.addresses, "the directory doesn't name the machine"
    stopped_at = now()
    if trouble:
        stopped.signal(signal.SIGTERM)
        world.note(f"SIGTERM to {stopped.name}")
    await asyncio.sleep(SENT_AFTER)
    assert all(caller.until > now() for caller in callers), "the responses are too old"

    async def attempt(number):
        return await request(link.address, "GET", f"/profile/{number}", HOST, f"r{number:05d}", DEADLINE_MS)

    answers = await asyncio.gather(*(attempt(number) for number in range(CONSUMERS)))
    # Lets the servers end what they still work on.
    await asyncio.sleep(2 * WORK)
    return judge(world, answers, stopped_at)


def judge(world, answers, stopped_at):
    """Returns whether LOST is broken: as written, with its excuses."""
    runs = {}
    for server in world.servers:
        for server_run in server.arrivals:
            if server_run["ran"]:
                runs.setdefault(server_run["id"], []).append(server_run)
    lost = 0
    for answer in answers:
        ran = [(server_run["ran_at"] - stopped_at, server_run["worked_until"] - stopped_at)
               for server_run in runs.get(answer.id, [])]
        line = (f"{answer.id} sent={answer.began - stopped_at:.2f} ended={answer.ended - stopped_at:.2f} "
                f"status={answer.status} bytes={len(answer.body)} of {len(BODY)} whole={answer.whole} "
                f"end={answer.error} ran={[f'{begin:.2f}..{end:.2f}' for begin, end in ran]}")
        at_deadline = answer.ended - answer.began >= DEADLINE_MS / 1000
        at_work = any(end > GRACE * 5 / 6 for _begin, end in ran) and answer.began <= stopped_at + 3
        in_time = answer.ended <= stopped_at + GRACE + 1
        is_cut = not answer.whole and answer.error == CLOSED
        if is_cut and ran and in_time and not at_deadline and not at_work:
            lost += 1
            line += " LOST"
        elif answer.whole:
            assert answer.body == BODY
        world.note(line)
    last = max(answer.ended for answer in answers) - stopped_at
    summary = f"attempts={len(answers)} lost={lost} the last one ended {last:.2f} s after the signal's moment"
    world.note(summary)
    print(summary)
    return lost > 0


run_script(main, os.path.join(HERE, "record.txt"))

"""All processes are killed at once and one machine doesn't come back. See claim.txt."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from world import World, get_json, now, route, run_script  # noqa: E402

HOST = "portal.example"
ZONES = {"harju-a": "harju", "tartu-a": "tartu", "parnu-a": "parnu"}
# Bounds of the site, and times of the run, in seconds.
STABLE = 6.0
AWAY, WATCHED, ASK_EVERY, ANSWERS_ALLOWED = 1.0, 14.0, 0.5, 3


async def main(trouble, record):
    world = World(ZONES, config_ms=5000, drain_ms=5000)
    try:
        return await play(world, trouble)
    finally:
        world.write_record(record)
        await world.close()


async def renewal_of(world, machine):
    """Waits until the store has just renewed the lease of the machine's entry, so that the runs are alike."""
    address = "%s:%d" % machine.front
    while True:
        for item in world.store.items.values():
            ttl, until = world.store.leases.get(item["lease"], (0.0, 0.0))
            if address in item["key"] and until - now() > ttl - 0.5:
                return
        await asyncio.sleep(0.05)


async def play(world, trouble):
    await world.start([2, 1, 1])
    for zone in ZONES:
        await world.add_server("member-desk", zone)
    await world.write_config(7, [route("profile-fetch", HOST, "/profile/", service="member-desk")])
    for machine in world.machines:
        machine.start()
    for machine in world.machines:
        assert await machine.wait_ready(), "a machine isn't ready"
    await asyncio.sleep(STABLE + 1)
    lost, others = world.machines[0], world.machines[1:]
    await renewal_of(world, lost)
    killed_at = now()
    if trouble:
        for machine in world.machines:
            machine.kill()
        world.note(f"all processes are killed; {lost.name} doesn't come back")
        await asyncio.sleep(AWAY)
        for machine in others:
            machine.start()
            world.note(f"{machine.name} starts")
    broken, answered = [], 0
    while now() < killed_at + WATCHED:
        await asyncio.sleep(ASK_EVERY)
        for machine in others:
            target = f"/v1/resolve?name={HOST}&region={machine.region}&zone={machine.zone}"
            asked_at = now()
            try:
                status, body = await get_json(machine.directory, target)
            except (OSError, asyncio.TimeoutError) as error:
                world.note(f"{machine.name}: {type(error).__name__}")
                continue
            named = body["addrs"] if body else []
            answered += bool(named)
            # In touch: its process has run for the whole of stableMs before.
            in_touch = asked_at - machine.started_at > STABLE
            names_lost = "%s:%d" % lost.front in named
            names_running = any("%s:%d" % other.front in named for other in others if other.is_running())
            line = f"{asked_at - killed_at:6.2f} {machine.name}: {status} {named} in touch={in_touch}"
            if trouble and names_lost and names_running and in_touch and asked_at - killed_at > STABLE + 3:
                broken.append(line)
                line += " NAMES A MACHINE THAT IS GONE"
            world.note(line)
    summary = f"answers={answered} that name a machine gone for more than stableMs + 3 s={len(broken)}"
    world.note(summary)
    print(summary)
    return len(broken) > ANSWERS_ALLOWED


run_script(main, os.path.join(HERE, "record.txt"))

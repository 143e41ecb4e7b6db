"""CONFIG: an entry that was frozen during a storm of changes never catches up, and goes on by the old configuration."""
import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standin as s

FREEZE_S = 4.0
GAP_S = 0.06
CHANGES = 66  # GAP_S apart, for FREEZE_S
ROUTES = 40 + 2 * 1400  # cascade-frames-grown: routes that see no traffic, and big_config, which came twice
MOVED = (s.ip_number("198.18.0.1"), 443)  # the last change gives it to another service
IN_PROGRESS = 8  # orders at once
FROZEN = 3  # the frontend machine that runs only an entry
GROWN = {"contact-ms": 5000, "ack-ms": 6000, "config-apply-ms": 4000, "catch-up-s": 6, "drain-ms": 4000}
ALPHABET = "abcdefghijklmnopqrstuvwxyz0123456789"


def configuration(system, version, names, service):
    routes = [s.route_json("r-moved01", "198.18.0.1", 443, service, timeout_ms=2000 + version)]
    for i, name in enumerate(names):
        routes.append(s.route_json(name, f"198.18.{1 + i // 200}.{1 + i % 200}", 8443, "before", timeout_ms=2000 + version))
    return s.config_json(version, routes, [s.service_json("before"), s.service_json("after")])


async def body(system, trouble):
    system.bounds.update(GROWN)
    old = system.add_agent(0, "before", 0)
    new = system.add_agent(1, "after", 0)
    servers = [s.Server(system, old, "before", "server-before"), s.Server(system, new, "after", "server-after")]
    system.start()
    for server in servers:
        await server.start()
    operator = s.Operator(system)
    names = ["r-" + "".join(system.random.choice(ALPHABET) for _ in range(7)) for _ in range(ROUTES)]
    version = 1
    limit = system.bounds["ack-ms"] / 1000 + 0.003 * ROUTES
    if await operator.order("PUT", "/v1/config", configuration(system, version, names, "before"), name="config 1", timeout=4) is None:
        raise RuntimeError("the first configuration was not acknowledged")
    await system.wait_ready()
    await asyncio.sleep(system.bounds["contact-ms"] / 1000)
    entry = system.entries[FROZEN]
    client = s.Client(system, zone=system.front_zones[FROZEN])
    await client.start()
    leader_free = asyncio.Semaphore(IN_PROGRESS)
    acknowledged = []

    async def change(number, service):
        async with leader_free:
            text = configuration(system, number, names, service)
            at = await operator.order("PUT", "/v1/config", text, limit=limit, timeout=4, name=f"config {number}")
            if at is not None:
                acknowledged.append((number, at))

    if trouble:
        entry.freeze()
        system.record.write("machine-frozen", front=FROZEN)
    frozen_at = system.record.now()
    orders = []
    for _ in range(CHANGES):
        version += 1
        orders.append(asyncio.ensure_future(change(version, "before")))
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(max(0.0, FREEZE_S - (system.record.now() - frozen_at)))
    system.record.write("acknowledged-by-now", count=len(acknowledged))
    if trouble:
        entry.thaw()
        system.record.write("machine-thawed", front=FROZEN)
    await asyncio.gather(*orders)
    version += 1
    await change(version, "after")
    if not acknowledged or acknowledged[-1][0] != version:
        raise RuntimeError("the last change was not acknowledged")
    moved_at = acknowledged[-1][1]
    # The entry has been in touch for contact-ms, and config-apply-ms have passed, long before the requests below.
    await asyncio.sleep((system.bounds["contact-ms"] + system.bounds["config-apply-ms"]) / 1000 + 5)
    late = []
    tried = 0
    for round_number in range(20):
        flow = client.flow(MOVED)
        sent = system.record.now()
        tried += 1
        if await flow.open():
            stamp = await flow.request(f"moved-{round_number}")
            if stamp == "server-before":
                late.append(sent - moved_at)
        flow.close()
        await asyncio.sleep(0.4)
    print(f"{len(acknowledged)} changes acknowledged; {len(late)} of {tried} requests, sent {min(late, default=0):.1f} to "
          f"{max(late, default=0):.1f} s after the last acknowledgement, were run by the service of the older configuration")
    system.record.write("verdict", late=len(late), tried=tried)
    for line in entry.log()[-400:]:
        if "state-taken" in line:
            last = line
    system.record.write("entry-log", last=last.split(" ", 1)[1].replace(" ", ","), of_version=version)
    return not late


s.main(__file__, body, entry_only=[2])

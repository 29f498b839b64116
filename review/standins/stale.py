"""Case: two zones can't reach each other for a while, and a controller's old word arrives late."""
import asyncio
import os
import sys
import traceback

from standins import (Cloud, Controllers, Link, NoAnswer, Record, StateService, Worker, job, now,
                      request)

HERE = sys.argv[1]
ROOT = os.path.abspath(os.path.join(HERE, "../.."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Site ramsaran-pepper-works. The site cuts zones for up to 20 s ("zones_apart" in its days).
HOLD_S = 15.0
TAWA = {"name": "tawa", "cores": 32, "gpus": 0, "mem_gb": 128, "cache_gb": 100,
        "pull_gb_per_s": 0.4, "rate": 1.73, "market_price": 0.63, "startup_s": 35,
        "fields": ["debe-yard", "penal-yard"]}
FACTS = """
[facts]
size = 3
zones = ["debe-yard", "penal-yard"]
skew_ms = 1000.0
[[facts.teams]]
name = "pepper-crew"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0
[facts.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 45.0
gang_peer_s = 4.0
cancel_s = 30.0
[facts.state]
rps = 250.0
write_rps = 40.0
value_kb = 32.0
txn_ops = 32
[facts.cloud]
rps = 4.0
list_lag_s = 10.0
[facts.resources]
cpu = 0.08
ram_mb = 56.0
max_sockets = 500
"""


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    state = StateService(record, rps=250.0, write_rps=40.0, value_kb=32.0, txn_ops=32)
    cloud = Cloud(record, [TAWA])
    state_addr, cloud_addr = await state.start(), await cloud.start()
    names = ["bothy-0", "bothy-1", "bothy-2"]
    zones = {"bothy-0": "debe-yard", "bothy-1": "penal-yard", "bothy-2": "debe-yard"}
    controllers = Controllers(ROOT, record, names, zones, FACTS)
    # Every path between controllers of different zones goes through a link that can be held.
    links = {}
    for a in names:
        for b in names:
            if zones[a] != zones[b]:
                links[a, b] = await Link(controllers.back[b]).start()

    def peer_addr(a, b):
        return links[a, b].addr if (a, b) in links else controllers.back[b]

    try:
        for n in names:
            await controllers.start(n, cloud_addr, state_addr, peer_addr)
        while now() < 15.0 and not controllers.leader(state):
            await asyncio.sleep(0.1)
        await asyncio.sleep(8.0)
        leader = controllers.leader(state)
        if leader is None:
            record.line("no leader: the case can't run")
            return 2
        follower = next(n for n in names if zones[n] != zones[leader])
        record.line("leader", leader, "in", zones[leader], "- asked too:", follower, "in",
                    zones[follower])
        # The only machine is in the leader's zone, as its worker reports to the leader.
        specs = {}
        worker = Worker(record, "host-000001", TAWA, zones[leader],
                        {leader: controllers.front[leader]}, specs.get, lambda spec: 60.0, 1.0, 10.0)
        cloud.workers.append(await worker.rented())
        spec = job(1, "label-proof", "pepper-crew", 1, 8.0, 25.0, field=zones[leader])
        specs[spec["id"]] = spec

        async def ask(node):
            sent = now()
            try:
                status, body = await request(controllers.front[node], "GET",
                                             "/v2/runs/" + spec["id"], None, 2.0)
            except NoAnswer as e:
                status, body = 0, str(e)
            record.line("user:", node, "GET", spec["id"], "->", status, body)
            return sent, status, body

        status, body = await request(controllers.front[leader], "POST", "/v2/runs", spec, 5.0)
        record.line("user:", leader, "POST /v2/runs", spec["id"], "->", status, body)
        if status != 201:
            return 2
        # The job waits: no machine is up yet. The controllers tell each other so.
        await asyncio.sleep(3.0)
        if TROUBLE:
            record.line("the zones can't reach each other")
            for link in links.values():
                link.hold()
        held_at = now()
        await asyncio.sleep(2.0)
        await worker.boot()
        told_running = None
        while now() < held_at + HOLD_S - 4.0:
            _, status, body = await ask(leader)
            if status == 200 and body["stage"] == "running":
                told_running = told_running or now()
            await asyncio.sleep(1.0)
        if told_running is None or controllers.leader(state) != leader:
            record.line("the job does not run, or the leader has changed: the case can't run")
            return 2
        await ask(follower)
        await asyncio.sleep(max(0.0, held_at + HOLD_S - now()))
        # The interruption ends between two connection attempts of the leader to the other node.
        while TROUBLE and links[leader, follower].attempted() and now() < held_at + HOLD_S + 3.0:
            await asyncio.sleep(0.01)
        if TROUBLE:
            record.line("the zones reach each other again; what was held is delivered")
            for link in links.values():
                link.release()
        broken = False
        for _ in range(12):
            await asyncio.sleep(0.2)
            sent, status, body = await ask(follower)
            runs = any(s["stage"] == "running" for s in worker.tasks.values())
            if status == 200 and body["stage"] == "queued" and runs and sent > told_running + 3.0:
                broken = True
                record.line("BROKEN: told queued", round(sent - told_running, 1),
                            "s after the user was told running; the task has run all the time")
        await ask(leader)
        return 1 if broken else 0
    finally:
        await controllers.end_all()
        for n, text in controllers.logs().items():
            for l in text.splitlines()[-6:]:
                record.line(n, "log:", l)


# The caller maps these codes, so that a failure of the script itself is none of the rule.
BROKEN, HELD, NOT_RUN = 71, 70, 2
try:
    code = {1: BROKEN, 0: HELD}.get(asyncio.run(asyncio.wait_for(main(), 116.0)), NOT_RUN)
except Exception:
    traceback.print_exc()
    code = NOT_RUN
sys.stdout.flush()
os._exit(code)

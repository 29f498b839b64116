"""Case: the state service lowers its limits while the controllers run."""
import asyncio
import os
import sys
import traceback

from standins import (Cloud, Controllers, NoAnswer, Record, StateService, Worker, job, now,
                      request)
from site_recipes import FACTS, POT, RECIPES_STATE

HERE = sys.argv[1]
ROOT = os.path.abspath(os.path.join(HERE, "../.."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Site ramsaran-recipes-next: limits before, and those announced as `state.next`.
AFTER = dict(write_rps=18.0, value_kb=2.0, txn_ops=6)
REPORT_S, LEASE_S = 1.0, 10.0
# What the settings announce beside `[facts.state]`.
NEXT = """[facts.state.next]
rps = 100.0
write_rps = 18.0
value_kb = 2.0
txn_ops = 6
"""
MACHINES, JOBS, WAIT_S = 24, 6, 91.0


async def submit(record, fronts, specs, spec):
    specs[spec["id"]] = spec
    for attempt in range(60):
        node = sorted(fronts)[attempt % len(fronts)]
        try:
            status, body = await request(fronts[node], "POST", "/v2/runs", spec, 5.0)
            record.line("user:", node, "POST /v2/runs", spec["id"], "->", status, body)
            if status in (200, 201):
                return now()
        except NoAnswer as e:
            record.line("user:", node, "POST /v2/runs", spec["id"], "-> no answer:", e)
        await asyncio.sleep(1.0)
    return None


async def poll_until_done(record, fronts, ids, until):
    """Users poll every 5 s until their job is done. Returns the stage last told of each job."""
    told = dict.fromkeys(ids)

    async def user(k, i):
        turn = k
        while told[i] != "done" and now() < until:
            node = sorted(fronts)[turn % len(fronts)]
            turn += 1
            try:
                status, body = await request(fronts[node], "GET", "/v2/runs/" + i, None, 2.0)
                record.line("user:", node, "GET", i, "->", status, body)
                if status == 200:
                    told[i] = body["stage"]
            except NoAnswer as e:
                record.line("user:", node, "GET", i, "-> no answer:", e)
            if told[i] != "done":
                await asyncio.sleep(max(0.0, min(5.0, until - now())))
    await asyncio.gather(*(user(k, i) for k, i in enumerate(ids)))
    return told


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    state = StateService(record, **RECIPES_STATE)
    cloud = Cloud(record, [POT])
    state_addr, cloud_addr = await state.start(), await cloud.start()
    names = ["bothy-0", "bothy-1", "bothy-2"]
    zones = {"bothy-0": "north-shed", "bothy-1": "south-shed", "bothy-2": "north-shed"}
    controllers = Controllers(ROOT, record, names, zones, FACTS + NEXT)
    try:
        for n in names:
            await controllers.start(n, cloud_addr, state_addr)
        specs = {}
        for k in range(MACHINES + 1):
            zone = ["north-shed", "south-shed"][k % 2]
            w = Worker(record, "host-%06d" % (k + 1), POT, zone, controllers.front, specs.get,
                       lambda spec: 300.0 if spec["cook_s"] > 100.0 else 5.0, REPORT_S, LEASE_S)
            cloud.workers.append(await w.rented())
            if k < MACHINES:
                await w.boot()
        # The last machine was rented just before and boots for a few seconds.
        cloud.workers[-1].rented_before_s = 0.0
        while now() < 12.0 and not controllers.leader(state):
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
        # A large job takes the machines that are up, so that new work needs the new machine.
        long = job(1, "photo-resize", "test-kitchen", MACHINES, 8.0, 24.0, urgency="normal",
                   cook_s=300.0)
        if await submit(record, controllers.front, specs, long) is None:
            record.line("the first job was not accepted: the case can't run")
            return 2
        while now() < 12.0 and sum(len(w.tasks) for w in cloud.workers) < MACHINES:
            await asyncio.sleep(0.2)
        if sum(len(w.tasks) for w in cloud.workers) < MACHINES:
            record.line("the first job does not run in full: the case can't run")
            return 2
        if TROUBLE:
            state.value_kb, state.txn_ops = AFTER["value_kb"], AFTER["txn_ops"]
            state.write_rps = AFTER["write_rps"]
            record.line("state service lowers its limits:", AFTER)
        await asyncio.sleep(max(0.0, 13.0 - now()))
        await cloud.workers[-1].boot()
        await asyncio.sleep(2.0)
        jobs = [job(100 + k, "page-rebuild", "test-kitchen", 2, 2.0, 7.0) for k in range(JOBS)]
        accepted = await asyncio.gather(
            *(submit(record, controllers.front, specs, spec) for spec in jobs))
        accepted_ids = [s["id"] for s, at in zip(jobs, accepted) if at is not None]
        if not accepted_ids:
            record.line("no job was accepted: the case can't run")
            return 2
        last = max(at for at in accepted if at is not None)
        told = await poll_until_done(record, controllers.front, accepted_ids, last + WAIT_S)
        started = {t.rsplit("/", 1)[0] for w in cloud.workers for t in w.started}
        waiting = [i for i in accepted_ids if told[i] != "done"]
        record.line("accepted:", len(accepted_ids), "not done after", WAIT_S, "s:", len(waiting))
        never = [i for i in waiting if i not in started]
        record.line("of these no task was started:", never)
        record.line("state service: transactions refused with 400:", state.rejected)
        return 1 if waiting else 0
    finally:
        await controllers.end_all()
        for n, text in controllers.logs().items():
            lines = [l for l in text.splitlines() if "rejected a transaction" not in l]
            record.line(n, "logged", len(text.splitlines()), "lines; the last others:")
            for l in lines[-6:]:
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

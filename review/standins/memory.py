"""Case: all controllers crash while large arrays wait."""
import asyncio
import itertools
import os
import signal
import sys
import traceback

from standins import (Cloud, Controllers, NoAnswer, Record, StateService, Worker, job, now,
                      request)
from site_recipes import FACTS, POT, RECIPES_STATE

HERE = sys.argv[1]
ROOT = os.path.abspath(os.path.join(HERE, "../.."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Site ramsaran-recipes: 40 MB a controller, back 4 s after an end; arrays of up to 100,000 tasks.
MEMORY_MB, BACK_S = 40.0, 4.0
ARRAYS, TASKS = 40, 100000
MACHINES, BACK_BY_S, WATCH_S = 4, 5.0, 90.0


def held_mb(pid):
    """Anonymous memory that a process holds, without the pages of its program file."""
    try:
        with open("/proc/%d/status" % pid) as f:
            for line in f:
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024.0
    except OSError:
        pass
    return 0.0


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    state = StateService(record, **RECIPES_STATE)
    cloud = Cloud(record, [POT])
    state_addr, cloud_addr = await state.start(), await cloud.start()
    names = ["bothy-0", "bothy-1", "bothy-2"]
    zones = {"bothy-0": "north-shed", "bothy-1": "south-shed", "bothy-2": "north-shed"}
    controllers = Controllers(ROOT, record, names, zones, FACTS)
    guards = []
    killed = dict.fromkeys(names, 0)
    peak = dict.fromkeys(names, 0.0)

    async def platform(name):
        """Starts a controller again BACK_S after its end, and kills it over its limit."""
        while True:
            p = controllers.proc[name]
            while p.returncode is None:
                mb = held_mb(p.pid)
                if mb > peak[name]:
                    peak[name] = mb
                if mb > MEMORY_MB:
                    killed[name] += 1
                    record.line("platform:", name, "holds %.1f MB, over its limit of %.0f MB:"
                                % (mb, MEMORY_MB), "killed")
                    p.kill()
                    await p.wait()
                    break
                await asyncio.sleep(0.02)
            await asyncio.sleep(BACK_S)
            await controllers.start(name, cloud_addr, state_addr)

    turns = itertools.count()

    async def user(method, target, value=None):
        """Asks the controllers in turn until one answers with a final status."""
        for _ in range(30):
            node = names[next(turns) % 3]
            try:
                status, body = await request(controllers.front[node], method, target, value,
                                             5.0 if value else 2.0)
                record.line("user:", node, method, target, (value or {}).get("id", ""), "->",
                            status, body or "")
                if status in (200, 201):
                    return body
            except NoAnswer as e:
                record.line("user:", node, method, target, "-> no answer:", e)
            await asyncio.sleep(1.0)
        return None

    try:
        for n in names:
            await controllers.start(n, cloud_addr, state_addr)
        specs = {}
        for k in range(MACHINES):
            w = Worker(record, "host-%06d" % (k + 1), POT, ["north-shed", "south-shed"][k % 2],
                       controllers.front, specs.get, lambda spec: 4.0, 1.0, 10.0)
            cloud.workers.append(await w.rented())
            await w.boot()
        while now() < 12.0 and not controllers.leader(state):
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
        guards += [asyncio.ensure_future(platform(n)) for n in names]
        arrays = [job(k + 1, "bread-index", "test-kitchen", TASKS, 8.0, 16.0, urgency="low",
                      cook_s=4.0) for k in range(ARRAYS)]
        specs.update((spec["id"], spec) for spec in arrays)

        async def submit(part):
            return [await user("POST", "/v2/runs", spec) for spec in part]
        answers = await asyncio.gather(*(submit(arrays[k::3]) for k in range(3)))
        if any(answer is None for part in answers for answer in part):
            record.line("a job was not accepted: the case can't run")
            return 2
        waited_from = now()
        while now() < waited_from + 6.0 and not any(w.started for w in cloud.workers):
            await asyncio.sleep(0.1)
        if not any(w.started for w in cloud.workers):
            record.line("no task runs: the case can't run")
            return 2
        record.line("memory held before, MB:",
                    {n: round(held_mb(controllers.proc[n].pid), 1) for n in names})
        begun = now()
        if TROUBLE:
            record.line("all controllers crash")
            for n in names:
                controllers.signal(n, signal.SIGKILL)
        # The controllers are back 4 s after their end: from here on the trouble is over.
        await asyncio.sleep(BACK_BY_S)
        killed_before = sum(killed.values())
        started_before = sum(len(w.started) for w in cloud.workers)
        while now() < begun + BACK_BY_S + WATCH_S:
            await user("GET", "/v2/runs/req-000002")
            await asyncio.sleep(min(5.0, max(0.1, begun + BACK_BY_S + WATCH_S - now())))
        started = sum(len(w.started) for w in cloud.workers) - started_before
        later = sum(killed.values()) - killed_before
        record.line("most memory held, MB:", {n: round(v, 1) for n, v in peak.items()})
        record.line("killed over the limit:", killed, "of these after the trouble was over:", later)
        record.line("tasks started in", WATCH_S, "s after the trouble was over:", started)
        return 1 if started == 0 else 0
    finally:
        for g in guards:
            g.cancel()
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

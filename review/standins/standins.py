"""Stand-ins of the review: state service, cloud, workers, users and held links.

Everything runs in one asyncio process and uses loopback addresses only. The messages follow
the protocol page. The controllers are separate processes, started with the command of the
deploy file.
"""
import asyncio
import os
import shlex
import shutil
import signal
import struct
import tempfile
import time

START = time.monotonic()


def now():
    return time.monotonic() - START


# --- MessagePack: maps keyed by text, lists, text, numbers, booleans and null ---------------

def pack(v):
    if v is None:
        return b"\xc0"
    if v is True:
        return b"\xc3"
    if v is False:
        return b"\xc2"
    if isinstance(v, int):
        if 0 <= v < 128:
            return bytes([v])
        if v >= 0:
            return b"\xcf" + struct.pack(">Q", v)
        return b"\xd3" + struct.pack(">q", v)
    if isinstance(v, float):
        return b"\xcb" + struct.pack(">d", v)
    if isinstance(v, str):
        b = v.encode()
        if len(b) < 32:
            return bytes([0xA0 | len(b)]) + b
        return b"\xdb" + struct.pack(">I", len(b)) + b
    if isinstance(v, (list, tuple)):
        head = bytes([0x90 | len(v)]) if len(v) < 16 else b"\xdd" + struct.pack(">I", len(v))
        return head + b"".join(pack(x) for x in v)
    if isinstance(v, dict):
        head = bytes([0x80 | len(v)]) if len(v) < 16 else b"\xdf" + struct.pack(">I", len(v))
        return head + b"".join(pack(k) + pack(x) for k, x in v.items())
    raise TypeError(type(v))


def unpack(b):
    v, end = _unpack(b, 0)
    if end != len(b):
        raise ValueError("bytes after the message")
    return v


_FIXED = {0xCA: ">f", 0xCB: ">d", 0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q",
          0xD0: ">b", 0xD1: ">h", 0xD2: ">i", 0xD3: ">q"}
_SIZED = {0xD9: ("s", ">B"), 0xDA: ("s", ">H"), 0xDB: ("s", ">I"), 0xDC: ("l", ">H"),
          0xDD: ("l", ">I"), 0xDE: ("m", ">H"), 0xDF: ("m", ">I")}


def _unpack(b, i):
    t = b[i]
    i += 1
    if t < 0x80:
        return t, i
    if t >= 0xE0:
        return t - 256, i
    if t < 0x90:
        return _collect("m", t & 15, b, i)
    if t < 0xA0:
        return _collect("l", t & 15, b, i)
    if t < 0xC0:
        return _collect("s", t & 31, b, i)
    if t in (0xC0, 0xC2, 0xC3):
        return {0xC0: None, 0xC2: False, 0xC3: True}[t], i
    if t in _FIXED:
        n = struct.calcsize(_FIXED[t])
        return struct.unpack_from(_FIXED[t], b, i)[0], i + n
    kind, size = _SIZED[t]
    n = struct.unpack_from(size, b, i)[0]
    return _collect(kind, n, b, i + struct.calcsize(size))


def _collect(kind, n, b, i):
    if kind == "s":
        return b[i:i + n].decode(), i + n
    out = []
    for _ in range(n if kind == "l" else 2 * n):
        v, i = _unpack(b, i)
        out.append(v)
    if kind == "l":
        return out, i
    return dict(zip(out[::2], out[1::2])), i


def json_size(v):
    """Size of a value in the form of the protocol page, which counts limits in JSON."""
    import json
    return len(json.dumps(v, separators=(",", ":")).encode())


# --- HTTP/1.1 --------------------------------------------------------------------------------

async def read_message(reader):
    """First line, headers and body of one message; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            k, v = line.split(":", 1)
            headers[k.strip().lower()] = v.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def serve_http(handler, host="127.0.0.1"):
    """Serves `handler(method, target, body) -> (status, value) or None` on a free port. None
    closes the connection without an answer."""
    async def connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                answer = await handler(method, target, message[2])
                if answer is None:
                    break
                status, value = answer
                body = b"" if value is None else pack(value)
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
                             + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
    server = await asyncio.start_server(connection, host, 0, limit=1 << 24)
    return "%s:%d" % server.sockets[0].getsockname()[:2]


class NoAnswer(Exception):
    pass


async def request(addr, method, target, value=None, wait_s=5.0, slot=None):
    """One request on a connection of its own, or on the one kept in the dict `slot`."""
    async def exchange():
        host, port = addr.split(":")
        if slot is not None and slot.get("addr") == addr and slot.get("w") is not None:
            reader, writer = slot["r"], slot["w"]
        else:
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 24)
        body = b"" if value is None else pack(value)
        keep = slot is not None
        writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\n\r\n" % (
            method, target, addr, "" if keep else "Connection: close\r\n", len(body))
        ).encode() + body)
        ok = False
        try:
            await writer.drain()
            message = await read_message(reader)
            ok = message is not None and message[1].get("connection") != "close"
        finally:
            if slot is not None:
                slot.clear()
            if keep and ok:
                slot.update(addr=addr, r=reader, w=writer)
            else:
                writer.close()
        if message is None:
            raise NoAnswer("connection closed")
        status = int(message[0].split(" ")[1])
        return status, (unpack(message[2]) if message[2] else None)
    try:
        return await asyncio.wait_for(exchange(), wait_s)
    except asyncio.TimeoutError:
        raise NoAnswer("no response in time")
    except (OSError, asyncio.IncompleteReadError) as e:
        raise NoAnswer(str(e) or type(e).__name__)


# --- the record ------------------------------------------------------------------------------

class Record:
    """What was sent, answered and run, a line each."""

    def __init__(self, path):
        self.file = open(path, "w")

    def line(self, *words):
        text = "%8.3f %s" % (now(), " ".join(str(w) for w in words))
        print(text, file=self.file, flush=True)


# --- state service ---------------------------------------------------------------------------

class StateService:
    """Small store with revisions, leases and watches. Limits can be changed while it runs."""

    def __init__(self, record, rps, write_rps, value_kb, txn_ops):
        self.record = record
        self.rps, self.write_rps = rps, write_rps
        self.value_kb, self.txn_ops = value_kb, txn_ops
        self.revision = 0
        self.data = {}
        self.log = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.level = {"requests": rps, "writes": write_rps}
        self.level_at = now()
        self.rejected = 0
        self.out = False

    async def start(self):
        asyncio.ensure_future(self.expire())
        return await serve_http(self.handle)

    def apply(self, changes):
        self.revision += 1
        for key, value, lease in changes:
            if value is None:
                if key in self.data:
                    del self.data[key]
                    self.log.append((self.revision, key, None))
            else:
                self.data[key] = (value, self.revision, lease)
                self.log.append((self.revision, key, value))
        self.log = self.log[-10000:]
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.out:
                continue
            for lease, (ttl, until) in list(self.leases.items()):
                if now() > until:
                    self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        keys = [k for k, v in self.data.items() if v[2] == lease]
        if keys:
            self.apply([(k, None, None) for k in keys])

    def set_outage(self, out):
        """During an outage every request gets 503; afterwards each lease has its full time."""
        self.out = out
        self.record.line("state service", "out" if out else "back")
        if not out:
            for lease, (ttl, _) in list(self.leases.items()):
                self.leases[lease] = (ttl, now() + ttl)

    def admit(self, kind, n):
        t = now()
        for k, rate in (("requests", self.rps), ("writes", self.write_rps)):
            self.level[k] = min(rate, self.level[k] + (t - self.level_at) * rate)
        self.level_at = t
        if self.level[kind] < min(n, 1.0):
            return False
        self.level[kind] -= n
        return True

    async def handle(self, method, target, body):
        await asyncio.sleep(0.003)
        if self.out:
            return 503, None
        if not self.admit("requests", 1.0):
            return 429, None
        path, _, query = target.partition("?")
        args = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        if path == "/multi":
            return self.txn(unpack(body))
        if path == "/follow":
            return await self.follow(args)
        if path == "/keys":
            return self.list(args)
        if path.startswith("/keys/"):
            key = path[len("/keys/"):]
            if key not in self.data:
                return 404, {"ledger_count": self.revision}
            value, stamp, lease = self.data[key]
            answer = {"key": key, "value": value, "stamp": stamp}
            if lease is not None:
                answer["tenancy"] = lease
            return 200, answer
        if path == "/holds":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = unpack(body)["ttl_ms"] / 1000.0
            self.leases[lease] = (ttl, now() + ttl)
            return 200, {"tenancy": lease}
        if path.startswith("/holds/"):
            parts = path.split("/")
            lease = int(parts[2])
            if lease not in self.leases:
                return 404, None
            if method == "DELETE":
                self.end_lease(lease)
            else:
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, now() + ttl)
            return 200, {}
        return 400, None

    def txn(self, txn):
        conditions, changes = txn.get("if", []), txn.get("then", [])
        if changes and not self.admit("writes", float(len(changes))):
            return 429, None
        too_large = (len(changes) > self.txn_ops or len(conditions) > 4 * self.txn_ops
                     or json_size(txn) > 65536
                     or any("put" in c and json_size(c["value"]) > self.value_kb * 1024
                            for c in changes))
        if too_large:
            self.rejected += 1
            if self.rejected <= 40 or self.rejected % 50 == 0:
                self.record.line("state service: 400 for a transaction of", len(changes),
                                 "changes and", len(conditions), "conditions, largest value",
                                 max([json_size(c["value"]) for c in changes if "put" in c] + [0]),
                                 "bytes, keys", [c.get("put") or c.get("drop") for c in changes][:8])
            return 400, {"error": "too large"}
        failed = [c["key"] for c in conditions
                  if self.data.get(c["key"], (None, 0))[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger_count": self.revision}
        if any(c.get("tenancy") is not None and c["tenancy"] not in self.leases for c in changes):
            return 400, {"error": "no such lease"}
        if changes:
            self.apply([(c["put"], c["value"], c.get("tenancy")) if "put" in c
                        else (c["drop"], None, None) for c in changes])
        return 200, {"ledger_count": self.revision}

    def list(self, args):
        under, after = args.get("under", ""), args.get("from", "")
        most = min(int(args.get("most", "1000")), 1000)
        keys = sorted(k for k in self.data if k.startswith(under) and k > after)
        pairs, size = [], 0
        for k in keys[:most]:
            pair = {"key": k, "value": self.data[k][0], "stamp": self.data[k][1]}
            size += json_size(pair)
            if size > 500 * 1024 and pairs:
                break
            pairs.append(pair)
        return 200, {"pairs": pairs, "more": len(pairs) < len(keys), "ledger_count": self.revision}

    async def follow(self, args):
        under, since = args.get("under", ""), int(args["from"])
        until = now() + min(int(args.get("hold_ms", "0")), 60000) / 1000.0
        while True:
            if self.log and self.revision - since > 10000:
                return 410, None
            found = [] if self.out else [e for e in self.log
                                         if e[0] > since and e[1].startswith(under)]
            if found or now() >= until:
                log = [{"put": k, "value": v, "stamp": r} if v is not None
                       else {"drop": k, "stamp": r} for r, k, v in found]
                return 200, {"ledger_count": self.revision, "log": log}
            try:
                await asyncio.wait_for(self.changed.wait(), min(until - now() + 0.001, 0.5))
            except asyncio.TimeoutError:
                pass


# --- cloud -----------------------------------------------------------------------------------

class Cloud:
    """Has the machines that the case gives it, and no others to rent."""

    def __init__(self, record, breeds):
        self.record, self.breeds, self.workers = record, breeds, []

    async def start(self):
        return await serve_http(self.handle)

    async def handle(self, method, target, body):
        await asyncio.sleep(0.05)
        path, _, query = target.partition("?")
        if path == "/catalog":
            return 200, {"breeds": self.breeds}
        if path == "/hosts" and method == "GET":
            args = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
            after = args.get("from", "")
            hobs = [{"id": w.name, "endpoint": w.addr, "breed": w.breed["name"], "field": w.zone,
                     "borrowed": False, "stage": "running" if w.up else "booting",
                     "age_s": now() + w.rented_before_s}
                    for w in self.workers if w.name > after and not w.gone]
            return 200, {"hobs": hobs, "more": False}
        if path == "/hosts":
            return 503, {"error": "no capacity"}
        names = unpack(body)["hobs"]
        self.record.line("cloud: deletes", names)
        for w in self.workers:
            if w.name in names:
                w.vanish()
        return 200, {}


# --- workers ---------------------------------------------------------------------------------

class Worker:
    """A machine with its worker. `job_of` gives the submission of a job id, as users upload it."""

    def __init__(self, record, name, breed, zone, fronts, job_of, run_s, report_s, lease_s):
        self.record, self.name, self.breed, self.zone = record, name, breed, zone
        self.fronts, self.job_of, self.run_s = fronts, job_of, run_s
        self.report_s, self.lease_s = report_s, lease_s
        self.session, self.seq, self.token = 1, 0, 0
        self.tasks = {}
        self.renewed = now()
        self.gone = False
        self.changed = asyncio.Event()
        self.node = 0
        self.used = 0.0
        self.token_changed_at = -1e9
        self.started = set()
        self.up = False
        self.rented_before_s = 60.0

    async def rented(self):
        """The machine exists and boots."""
        self.addr = await serve_http(self.handle)
        return self

    async def boot(self):
        """The machine is up: its worker starts to report."""
        self.up, self.renewed = True, now()
        self.record.line(self.name, "is up")
        asyncio.ensure_future(self.reports())
        asyncio.ensure_future(self.clock())
        return self

    def vanish(self):
        self.gone = True
        for task, attempt in list(self.tasks):
            if self.tasks[(task, attempt)]["stage"] != "exited":
                self.record.line(self.name, "is deleted with", task, attempt)
        self.tasks.clear()

    def report(self):
        self.seq += 1
        return {"hob": self.name, "endpoint": self.addr, "breed": self.breed["name"],
                "field": self.zone, "borrowed": False, "shift": self.session, "tally": self.seq,
                "ladle": self.token, "recall_s": None, "portions": [
                    {k: v for k, v in (("portion", t), ("try", a), ("stage", s["stage"]),
                                       ("cause", s.get("cause"))) if v is not None}
                    for (t, a), s in self.tasks.items()]}

    def observe_token(self, token):
        if token > self.token:
            self.token = token
            if now() - self.token_changed_at >= self.lease_s / 2:
                self.token_changed_at = now()
                self.changed.set()

    async def clock(self):
        """Ends tasks, and the session once the lease has run out."""
        while not self.gone:
            await asyncio.sleep(0.02)
            for (task, attempt), s in list(self.tasks.items()):
                if s["stage"] == "running" and now() >= s["until"]:
                    self.exit(task, attempt, "done")
            if now() - self.renewed > self.lease_s:
                for (task, attempt), s in list(self.tasks.items()):
                    if s["stage"] != "exited":
                        self.record.line(self.name, "lease over: kills", task, attempt)
                self.tasks.clear()
                self.used = 0.0
                self.session += 1
                self.renewed = now()
                self.changed.set()

    def exit(self, task, attempt, cause):
        s = self.tasks[(task, attempt)]
        if s["stage"] == "exited":
            return
        if s["stage"] == "running":
            self.used -= s["cores"]
            self.record.line(self.name, "ends", task, attempt, cause)
        s["stage"], s["cause"] = "exited", cause
        self.changed.set()

    def execute(self, orders):
        for o in orders:
            key = (o["portion"], o["try"])
            if o["verb"] == "launch":
                if key in self.tasks:
                    continue
                spec = self.job_of(o["portion"].rsplit("/", 1)[0])
                cause = None
                if spec is None:
                    cause = "no_such"
                elif any(t == key[0] and s["stage"] != "exited" for (t, _), s in self.tasks.items()):
                    cause = "busy"
                elif self.used + spec["cores"] > self.breed["cores"] + 1e-6:
                    cause = "no_room"
                if cause:
                    self.record.line(self.name, "refuses", *key, cause)
                    self.tasks[key] = {"stage": "exited", "cause": cause}
                else:
                    self.record.line(self.name, "starts", *key)
                    self.used += spec["cores"]
                    self.started.add(key[0])
                    self.tasks[key] = {"stage": "running", "cores": spec["cores"],
                                       "until": now() + self.run_s(spec)}
                self.changed.set()
            elif o["verb"] == "halt" and key in self.tasks:
                self.exit(*key, "stopped")
            elif o["verb"] == "reap" and self.tasks.get(key, {}).get("stage") == "exited":
                del self.tasks[key]

    async def handle(self, method, target, body):
        if self.gone:
            return None
        if target == "/inspect":
            return 200, self.report()
        if not self.up:
            return None
        m = unpack(body)
        if "ladle" not in m or "shift" not in m:
            return 400, None
        if m["ladle"] < self.token or m["shift"] != self.session:
            return 409, self.report()
        self.observe_token(m["ladle"])
        self.execute(m.get("orders", []))
        return 200, self.report()

    async def reports(self):
        names = list(self.fronts)
        slot, last = {}, -1e9
        while not self.gone:
            wait = max(0.5 - (now() - last), 0.0)
            if wait:
                await asyncio.sleep(wait)
            self.changed.clear()
            sent, session, report = now(), self.session, self.report()
            last = sent
            try:
                status, answer = await request(self.fronts[names[self.node]], "POST",
                                               "/v1/report", report, 4.0, slot)
            except (NoAnswer, ValueError, KeyError, IndexError):
                status, answer = 0, None
            if status == 200 and answer.get("ladle", 0) >= self.token and session == self.session:
                self.observe_token(answer["ladle"])
                self.renewed = sent
                self.execute(answer.get("orders", []))
            elif status == 421 and (answer or {}).get("foreman") in names \
                    and answer["foreman"] != names[self.node]:
                self.node = names.index(answer["foreman"])
                slot.clear()
                await asyncio.sleep(0.1)
                continue
            elif status != 200:
                self.node = (self.node + 1) % len(names)
                slot.clear()
                await asyncio.sleep(1.0)
                continue
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       max(0.0, self.report_s - (now() - sent)))
            except asyncio.TimeoutError:
                pass


# --- links that can be held ------------------------------------------------------------------

class Link:
    """A network path to `target`. While it is held, packets in both directions wait, and they
    are delivered in order afterwards, also if a side has closed the connection meanwhile. A
    connection attempt during the hold does not complete."""

    def __init__(self, target):
        self.target = target
        self.open = asyncio.Event()
        self.open.set()
        self.attempts = []

    def attempted(self):
        """Whether a connection attempt waits that was not given up."""
        return any(not r.at_eof() and not r._eof and r.exception() is None for r in self.attempts)

    async def start(self):
        server = await asyncio.start_server(self.connection, "127.0.0.1", 0, limit=1 << 24)
        self.addr = "%s:%d" % server.sockets[0].getsockname()[:2]
        return self

    def hold(self):
        self.open.clear()

    def release(self):
        self.open.set()

    async def connection(self, reader, writer):
        if not self.open.is_set():
            # An attempt made during the interruption. It completes afterwards, unless it was
            # given up meanwhile.
            self.attempts.append(reader)
            await self.open.wait()
            self.attempts.remove(reader)
            if reader.at_eof() or reader._eof or reader.exception() is not None:
                writer.close()
                return
        host, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return

        async def pump(source, sink):
            try:
                while True:
                    data = await source.read(65536)
                    await self.open.wait()
                    if not data:
                        sink.write_eof()
                        return
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, OSError, RuntimeError):
                pass
        await asyncio.gather(pump(reader, far_writer), pump(far_reader, writer))
        writer.close()
        far_writer.close()


# --- controllers -----------------------------------------------------------------------------

def free_ports(n):
    import socket
    socks = [socket.socket() for _ in range(n)]
    for s in socks:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in socks]
    for s in socks:
        s.close()
    return ports


def deploy_command(root):
    import tomllib
    with open(os.path.join(root, "deploy/service.toml"), "rb") as f:
        return shlex.split(tomllib.load(f)["run"])


class Controllers:
    """The controllers of a deployment, each a process with a settings file of its own."""

    def __init__(self, root, record, names, zones, facts):
        self.root, self.record, self.names, self.zones, self.facts = root, record, names, zones, facts
        ports = free_ports(2 * len(names))
        self.front = {n: "127.0.0.1:%d" % p for n, p in zip(names, ports)}
        self.back = {n: "127.0.0.1:%d" % p for n, p in zip(names, ports[len(names):])}
        self.dir = tempfile.mkdtemp(prefix="umbersail-review-")
        self.proc = {}

    def settings(self, name, cloud, state, peer_addr):
        text = ['member = "%s"' % name, 'area = "%s"' % self.zones[name],
                'front = "%s"' % self.front[name], 'back = "%s"' % self.back[name]]
        for other in self.names:
            if other != name:
                text += ["[[known]]", 'member = "%s"' % other, 'area = "%s"' % self.zones[other],
                         'addr = "%s"' % peer_addr(name, other)]
        text += ["[external]", 'cloud = "%s"' % cloud, 'state = "%s"' % state]
        path = os.path.join(self.dir, name + ".toml")
        with open(path, "w") as f:
            f.write("\n".join(text) + "\n" + self.facts)
        return path

    async def start(self, name, cloud, state, peer_addr=None):
        peer_addr = peer_addr or (lambda _, other: self.back[other])
        path = self.settings(name, cloud, state, peer_addr)
        command = deploy_command(self.root) + [path]
        log = open(os.path.join(self.dir, name + ".log"), "a")
        env = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        self.proc[name] = await asyncio.create_subprocess_exec(
            *command, cwd=self.root, stderr=log, stdout=log, env=env)
        self.record.line("controller", name, "started:", " ".join(command[:-1]), "SETTINGS")

    def signal(self, name, sig):
        self.record.line("controller", name, "gets", signal.Signals(sig).name)
        self.proc[name].send_signal(sig)

    async def end_all(self):
        for p in self.proc.values():
            if p.returncode is None:
                try:
                    p.send_signal(signal.SIGCONT)
                    p.kill()
                except ProcessLookupError:
                    pass
                await p.wait()

    def logs(self):
        """The controllers' logs. Removes the temporary folder: call it last."""
        out = {}
        for n in self.names:
            path = os.path.join(self.dir, n + ".log")
            out[n] = open(path).read() if os.path.exists(path) else ""
        shutil.rmtree(self.dir, ignore_errors=True)
        return out

    def leader(self, state):
        value = state.data.get("leader")
        return value[0]["member"] if value else None


def job(number, recipe, crew, portions, cores, mem_gb, **more):
    spec = {"id": "req-%06d" % number, "recipe": recipe, "crew": crew, "cut": "array",
            "urgency": "high", "portions": portions, "cores": cores, "gpus": 0.0, "mem_gb": mem_gb,
            "kit": "img-01", "size_gb": 1.0, "breeds": None, "field": None, "together": False,
            "spread": False, "borrowed": True, "cook_s": 20.0, "stir_s": 0.0, "bottle_s": 0.0,
            "serve_s": None}
    spec.update(more)
    return spec

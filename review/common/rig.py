"""Stand-ins for the review's cases: data servers, the agent of discovery, clients, and the start of the proxy.

Only the standard library. All addresses are loopback addresses, all ports are free ones. Without an option
that a case sets, a stand-in behaves like a sound peer of the protocol page.
"""
import asyncio
import json
import os
import signal
import struct
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played as it should: neither a pass nor a failure."""


class Record:
    """Writes what was sent, answered and run, one event per line, with seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self(f"TROUBLE={1 if TROUBLE else 0}")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f}  {text}\n")
        self.file.flush()


def message(kind, body=b""):
    return kind + struct.pack("!I", len(body) + 4) + body


def parameter(name, value):
    return message(b"S", name.encode() + b"\0" + str(value).encode() + b"\0")


def error(code, text, severity="ERROR"):
    fields = b"S" + severity.encode() + b"\0C" + code.encode() + b"\0M" + text.encode() + b"\0\0"
    return message(b"E", fields)


READY = message(b"Z", b"I")


def row(value):
    """RowDescription of one binary column, one DataRow, CommandComplete."""
    description = struct.pack("!H", 1) + b"content\0" + struct.pack("!IHIhih", 0, 0, 17, -1, -1, 1)
    data = struct.pack("!HI", 1, len(value)) + value
    return message(b"T", description) + message(b"D", data) + message(b"C", b"SELECT 1\0")


def fields_of(statement):
    """The name=value pairs of a statement's comment, and its quoted key as 'name'."""
    comment = statement[statement.rindex("/* ") + 3:statement.rindex(" */")]
    fields = dict(pair.split("=", 1) for pair in comment.split(","))
    fields["name"] = statement.split("'", 2)[1]
    fields["write"] = statement.startswith("INSERT")
    return fields


def free_port():
    import socket
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class DataServer:
    """A data server. A case overrides position(), handle() or before_ready()."""

    def __init__(self, record, name, cell=1, role="replica", zone="north", work_s=0.02, idle_s=30.0):
        self.record, self.name, self.cell, self.zone = record, name, cell, zone
        self.role, self.work_s, self.idle_s = role, work_s, idle_s
        self.lifecycle, self.started_at_ms = "up", 0
        self.connections, self.runs = 0, []
        self.slow = False  # reads requests with read_slowly(), which the case defines
        self.log = {}  # key -> unix time of the last commit; shared by the members of a set

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        return {"instanceId": self.name, "hostPort": f"{HOST}:{self.port}", "zone": self.zone,
                "machineType": "std", "cell": self.cell, "lifecycle": self.lifecycle, "weight": 1.0,
                "startedAtMs": self.started_at_ms}

    def position(self):
        """Unix time up to which every commit is applied."""
        return time.time() if self.role == "primary" else time.time() - 0.007

    def usage(self):
        return f"x0={self.position():.6f},x1={1 if self.role == 'primary' else 0},q=0,rif=0"

    def status(self, position_ms=None):
        text = parameter("server_role", "writer" if self.role == "primary" else "reader")
        return text if position_ms is None else text + parameter("commit_clock", position_ms)

    async def before_ready(self, number):
        """Called before a new connection comes up."""

    async def serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        try:
            size, = struct.unpack("!I", await reader.readexactly(4))
            await reader.readexactly(size - 4)
            await self.before_ready(number)
            writer.write(message(b"R", b"\0\0\0\0") + READY)
            while True:
                head = await asyncio.wait_for(reader.readexactly(5), self.idle_s)
                size = struct.unpack("!I", head[1:])[0] - 4
                body = await (self.read_slowly(reader, size) if self.slow else reader.readexactly(size))
                arrived = time.time()
                if head[:1] != b"Q":
                    return
                statement = body[:-1].decode()
                if statement == "SHOW usage":
                    writer.write(row(self.usage().encode()) + READY)
                elif statement == "SELECT 1":
                    writer.write(row(b"1") + READY)
                elif statement.startswith(("SELECT content", "INSERT INTO kv")):
                    if await self.handle(fields_of(statement), writer, arrived) is False:
                        return
                else:
                    self.record(f"server {self.name}: a statement that no client sends: {statement!r}")
                    writer.write(error("08P01", "no such statement") + READY)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, request, writer, arrived):
        """Answers one request. Returns False to close the connection."""
        await asyncio.sleep(self.work_s)
        if request["write"] and self.role != "primary":
            writer.write(self.status() + error("25006", "not the primary") + READY)
            return
        commit = int(time.time() * 1000) + 1 if request["write"] else None
        self.runs.append(request["id"])
        writer.write(row(request["id"].encode()) + self.status(commit) + READY)


class Discovery:
    """The agent: the whole list, and a watch that waits for changes."""

    def __init__(self, record, servers):
        self.record, self.servers, self.generation = record, servers, 1
        self.changed = asyncio.Condition()
        self.changes = []  # (generation, entry)

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def whole(self):
        return {"generation": self.generation, "reset": True,
                "instances": [server.entry() for server in self.servers]}

    async def change(self, *servers):
        """Publishes the present entries of these servers as one change."""
        async with self.changed:
            self.generation += 1
            self.changes += [(self.generation, server.entry()) for server in servers]
            self.record("discovery tells: " + ", ".join(f"{s.name} {s.lifecycle}" for s in servers))
            self.changed.notify_all()

    async def answer(self, path):
        if "after=" not in path:
            return self.whole()
        query = dict(pair.split("=") for pair in path.split("?", 1)[1].split("&"))
        after, wait_s = int(query["after"]), min(int(query["wait_ms"]), 60000) / 1000
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(lambda: self.generation > after), wait_s)
            except asyncio.TimeoutError:
                pass
            latest = {e["instanceId"]: e for generation, e in self.changes if generation > after}
            return {"generation": self.generation, "reset": False, "instances": list(latest.values())}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = json.dumps(await self.answer(head.split(b" ")[1].decode())).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                             + str(len(body)).encode() + b"\r\n\r\n" + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Client:
    """One client connection. send() and answer() may be used apart, to have several commands in flight."""

    @classmethod
    async def connect(cls, port):
        self = cls()
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        body = struct.pack("!I", 196608) + b"user\0backend\0database\0store\0\0"
        self.writer.write(struct.pack("!I", len(body) + 4) + body)
        while (await self.frame())[0] != b"Z":
            pass
        return self

    async def frame(self):
        head = await self.reader.readexactly(5)
        return head[:1], await self.reader.readexactly(struct.unpack("!I", head[1:])[0] - 4)

    def send(self, statement):
        self.writer.write(message(b"Q", statement.encode() + b"\0"))

    async def answer(self):
        """(kind, value): served with the value; refused or failed with the code; empty; closed."""
        kind, value = "closed", b""
        try:
            while True:
                frame, body = await self.frame()
                if frame == b"Z":
                    return kind, value
                if frame == b"D":
                    value = body[6:]
                if frame == b"C":
                    kind = "served"
                if frame == b"I":
                    kind = "empty"
                if frame == b"E":
                    code = next(f[1:] for f in body.split(b"\0") if f[:1] == b"C")
                    kind, value = ("refused" if code in (b"53300", b"57P03") else "failed"), code
        except (asyncio.IncompleteReadError, ConnectionError):
            return ("closed", b"") if kind == "closed" else (kind, value)

    async def ask(self, statement, patience_s=30.0):
        self.send(statement)
        try:
            return await asyncio.wait_for(self.answer(), patience_s)
        except asyncio.TimeoutError:
            return "unanswered", b""

    def close(self):
        self.writer.close()


def read(key, request_id, request_class, timeout_ms, cell=1):
    return (f"SELECT content FROM kv WHERE name = '{key}' "
            f"/* id={request_id},c={request_class},d={timeout_ms},cluster={cell} */")


def write(key, request_id, request_class, timeout_ms, idempotency_key, cell=1, value="\\x9f03"):
    return (f"INSERT INTO kv (name, content) VALUES ('{key}', '{value}') RETURNING content "
            f"/* id={request_id},c={request_class},d={timeout_ms},k={idempotency_key},cluster={cell} */")


class Proxy:
    """The program that the deploy file's `run` starts."""

    def __init__(self, record, discovery, settings, operator_file=None, limits=None):
        self.record, self.folder = record, tempfile.TemporaryDirectory()
        self.port, self.operator_port = free_port(), free_port()
        self.config = {"name": "n1", "listen": f"{HOST}:{self.port}",
                       "discovery": f"{HOST}:{discovery.port}", "operator": f"{HOST}:{self.operator_port}",
                       "seed": "8c1f30d27a5be964",
                       "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                       "known": discovery.whole(), "settings": settings}
        self.operator_file = operator_file

    async def start(self):
        folder = self.folder.name
        path = os.path.join(folder, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            command = tomllib.load(file)["run"]
        if self.operator_file:
            operator_path = os.path.join(folder, "operator.json")
            with open(operator_path, "w", encoding="utf-8") as file:
                json.dump(self.operator_file, file)
            command += f" --operator {operator_path}"
        shared = os.path.join(folder, "tmp")
        os.makedirs(shared, exist_ok=True)
        environment = dict(os.environ, NODE_NAME="n1", NODE_LISTEN=self.config["listen"],
                           NODE_DISCOVERY=self.config["discovery"], NODE_CONFIG=path, TMPDIR=shared,
                           NODE_OPERATOR=self.config["operator"])
        self.log = open(os.path.join(folder, "log"), "w+", encoding="utf-8")
        self.process = await asyncio.create_subprocess_exec("/bin/sh", "-c", command, cwd=ROOT,
                                                            env=environment, stdout=self.log,
                                                            stderr=self.log)
        self.record(f"started: {command}")
        # A proxy that takes over 30 s to be ready has crashed, by STANDING.md: no verdict of these cases.
        for _ in range(600):
            if self.process.returncode is not None:
                break
            if await self.call("health") == "YES":
                return
            await asyncio.sleep(0.05)
        await self.stop()
        raise CannotRun("the proxy was not ready within 30 s, or ended at its start")

    async def call(self, line):
        """One call at the operators' address: its answer's first word, or '' while nobody listens."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.operator_port)
            writer.write(line.encode() + b"\n")
            answer = (await asyncio.wait_for(reader.readline(), 2)).decode().strip()
            writer.close()
            self.last_answer = answer
            return answer.split(" ")[0]
        except (OSError, asyncio.TimeoutError):
            return ""

    def signal(self, number):
        self.record(f"{signal.Signals(number).name} to the proxy")
        self.process.send_signal(number)

    async def stop(self):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.log.seek(0)
        for line in self.log.read().splitlines():
            self.record("log of the proxy: " + line)
        self.log.close()
        self.folder.cleanup()


def settings(classes, **changes):
    """Settings of a small deployment. `classes`: (name, effect, level, bound ms, aim ms, deadline ms,
    window ms)."""
    result = {
        "NInstances": 3, "Ordinal": 0, "Zone": "north", "Zones": ["north", "south"], "StepMs": 5.0,
        "RegistryMode": "push", "Kinds": ["std"], "Family": "replicas", "CountedBy": "request",
        "Clients": {"MarksRetry": False},
        "RequestClasses": [
            {"Name": name, "Effect": effect, "Group": "cell" if effect == "token" else "all",
             "TargetMs": aim, "DeadlineMs": deadline, "KeyTtlMs": window, "Importance": 1.0,
             "LateShare": 0.2, "Streaming": False}
            for name, effect, level, bound, aim, deadline, window in classes],
        "FamilyInfo": {"ReadLevel": [c[2] for c in classes], "OldestDataMs": [c[3] for c in classes],
                       "Behind": "off", "WriteMarks": "router", "Positions": False, "ShowsRole": "off",
                       "CommitWaits": True, "PatienceMs": 0.0, "CountedFromMs": 0.0},
        "Report": {"How": "on_probe", "Fields": ["x0", "x1", "q", "rif"]},
        "Limits": {"Cancel": True, "ConnectTimeoutMs": 250.0, "KeepaliveMs": 30000.0, "MaxAttempts": 8,
                   "MaxOpen": 20000, "MaxRetryAfterMs": 500.0, "Peers": False, "Probes": True,
                   "RetryAfter": True, "SecondCopies": False, "StreamsPerConn": 1, "CpuUsPerS": 500000,
                   "CpuUsPerRequest": 0.0},
        "Guarantees": {"AnswerSlackMs": 20.0, "ColdShare": 0.18, "DrainGraceMs": 1000.0, "FallMs": 1000.0,
                       "MustAskInMs": 10000.0, "TipMultiple": 3.0, "WarmUpMs": 16000.0},
        "Fees": {"CrossZone": 0.04, "Probe": 0.01, "Waste": 0.03, "LateFail": 0.03},
        "Weights": "off", "OverShareWorth": 0.1, "Orgs": [], "Stages": ["db"], "Tier": 0,
    }
    for path, value in changes.items():
        section, _, key = path.partition("__")
        if key:
            result[section][key] = value
        else:
            result[section] = value
    return result


def main(case, folder, limit_s=110.0):
    """Plays a case, a coroutine function of the record that returns the breaks of the rule as texts."""
    record = Record(folder)

    def end(number, frame):  # the proxy is stopped on the way out
        raise SystemExit(COULD_NOT_RUN)
    signal.signal(signal.SIGTERM, end)
    try:
        breaks = asyncio.run(asyncio.wait_for(case(record), limit_s))
    except CannotRun as reason:
        record(f"COULD NOT RUN: {reason}")
        print(f"could not run: {reason}")
        sys.exit(COULD_NOT_RUN)
    except Exception as reason:  # a fault of the case itself is no verdict
        record(f"COULD NOT RUN: {type(reason).__name__}: {reason}")
        print(f"could not run: {type(reason).__name__}: {reason}")
        sys.exit(COULD_NOT_RUN)
    for text in breaks:
        record("BROKEN: " + text)
    verdict = f"the rule was broken {len(breaks)} times" if breaks else "the rule held"
    record(verdict)
    print(verdict + (": " + breaks[0] if breaks else ""))
    sys.exit(BROKEN if breaks else HELD)

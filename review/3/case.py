"""A bounded read decided just inside its bound is sent late, on a connection that comes up late."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
import rig

BOUND_S, SLACK_S = 3.0, 0.05   # usage-view: 3 s; every time limit is 50 ms longer on sockets
LATE_S = 0.22                  # a late connection: up to 1.5 s; later than ConnectTimeoutMs (250) is no use
SLOW_AT_S, SLOW_FOR_S = 4.0, 12.0  # slow apply for 8.8 to 20 s
# Normally the apply thread is busy 57% of the time; 20 times slower, it applies 1/(20 x 0.57) s of log a second.
SLOW_RATE = 1 / (20 * 0.57)
SETS = 3                       # 12 data servers
BURST, EVERY_S = 8, 0.04       # reads come in bursts: 200 a second, each burst for the next set


class Replica(rig.DataServer):
    slow_since = None
    slow_until = None

    def position(self):
        now = time.time()
        if self.slow_since is None or now < self.slow_since:
            return now - 0.007
        if now < self.slow_until:
            return self.slow_since - 0.007 + (now - self.slow_since) * SLOW_RATE
        behind = (self.slow_until - self.slow_since) * (1 - SLOW_RATE)
        return now - 0.007 - max(0.0, behind - (now - self.slow_until) * 0.75)

    def usage(self):
        # The report is refreshed every 100 ms.
        now = time.time()
        if now - getattr(self, "reported_at", 0) >= 0.1:
            self.reported_at, self.report = now, super().usage()
        return self.report

    async def before_ready(self, number):
        await asyncio.sleep(0.006)
        if rig.TROUBLE and number % 3 == 0:
            self.late = getattr(self, "late", 0) + 1
            await asyncio.sleep(LATE_S)

    async def handle(self, request, writer, arrived):
        await asyncio.sleep(self.work_s)
        position = self.position()  # that of the answer, which is not older than that of the arrival
        age = arrived - position
        self.served.append((request["id"], self.name, arrived, age))
        writer.write(rig.row(f"{request['id']} {position:.6f}".encode()) + self.status() + rig.READY)


async def case(record):
    served, answers, servers, replicas = [], {}, [], []
    for cell in range(1, SETS + 1):  # each of one primary and three replicas
        servers.append(rig.DataServer(record, f"p{cell}", cell=cell, role="primary", work_s=0.03))
        for n in (1, 2, 3):
            # Idle connections are closed early.
            replicas.append(Replica(record, f"r{cell}-{n}", cell=cell, work_s=0.03, idle_s=0.04))
            servers.append(replicas[-1])
    for server in servers:
        server.served = served
        await server.listen()
    discovery = rig.Discovery(record, servers)
    await discovery.listen()
    settings = rig.settings([("usage-view", "pure", "recent", 3000.0, 400.0, 1000.0, 3000.0),
                             ("charge-post", "token", "update", 0.0, 500.0, 5000.0, 3000.0)])
    proxy = rig.Proxy(record, discovery, settings)
    await proxy.start()
    clients = asyncio.Queue()
    try:
        async def ask(number, cell):
            client = await (clients.get() if not clients.empty() else rig.Client.connect(proxy.port))
            request_id = f"r{number}"
            answers[request_id] = await client.ask(rig.read(f"k{number}", request_id, "usage-view", 1000, cell), 3)
            clients.put_nowait(client)

        async def write(number, cell):
            client = await rig.Client.connect(proxy.port)
            await client.ask(rig.write("w", f"w{number}", "charge-post", 5000, f"key{number}", cell), 6)
            client.close()

        start = time.time()
        for replica in replicas:
            replica.slow_since, replica.slow_until = start + SLOW_AT_S, start + SLOW_AT_S + SLOW_FOR_S
        if not rig.TROUBLE:
            for replica in replicas:
                replica.slow_since = None
        tasks, number = [], 0
        for burst in range(round((SLOW_AT_S + 8) / EVERY_S)):
            await asyncio.sleep(max(0, start + burst * EVERY_S - time.time()))
            cell = burst % SETS + 1
            for _ in range(BURST):
                tasks.append(asyncio.create_task(ask(number, cell)))
                number += 1
            if burst % 7 == 0:
                tasks.append(asyncio.create_task(write(number, cell)))
        await asyncio.gather(*tasks)
    finally:
        await proxy.stop()
    breaks = []
    for request_id, name, arrived, age in served:
        outcome = answers[request_id][0]
        is_stale = age > BOUND_S + SLACK_S and outcome == "served" and answers[request_id][1].startswith(
            request_id.encode() + b" ")
        line = f"{request_id} at {name}, last byte arrived at {arrived - start:.3f}, data {age:.3f} s old, {outcome}"
        record(line)
        if is_stale:
            breaks.append(line + f"; allowed: {BOUND_S + SLACK_S:.2f} s")
    outcomes = [a[0] for a in answers.values()]
    record("answers: " + ", ".join(f"{k} {outcomes.count(k)}" for k in sorted(set(outcomes))))
    if outcomes.count("served") < len(outcomes) / 4:
        raise rig.CannotRun("most reads were not served")
    return breaks


rig.main(case, os.path.dirname(os.path.abspath(__file__)))

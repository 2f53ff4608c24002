"""SIGTERM while a data server hangs: a request that comes on a connection that stays open is never answered."""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
import rig

# SIGKILL comes no sooner than the longest deadline (counted as 3 s where it is longer) plus 0.7 s.
KILL_AFTER_S = 3.75
SECOND_AFTER_S = 1.2  # a request that comes more than 0.7 s after SIGTERM is lost if SIGKILL finds it unanswered


class HangingPrimary(rig.DataServer):
    hangs = False

    async def handle(self, request, writer, arrived):
        if self.hangs:
            self.record(f"server {self.name} hangs with {request['id']}")
            await asyncio.sleep(60)
        return await super().handle(request, writer, arrived)


async def case(record):
    primary = HangingPrimary(record, "s1", role="primary")
    servers = [primary, rig.DataServer(record, "s2"), rig.DataServer(record, "s3")]
    for server in servers:
        await server.listen()
    discovery = rig.Discovery(record, servers)
    await discovery.listen()
    settings = rig.settings([("browse", "pure", "recent", 300.0, 500.0, 2000.0, 5000.0),
                             ("book", "token", "update", 0.0, 1200.0, 5000.0, 5000.0)],
                            FamilyInfo__Behind="reject", FamilyInfo__WriteMarks="client",
                            FamilyInfo__Positions=True)
    proxy = rig.Proxy(record, discovery, settings)
    await proxy.start()
    breaks = []
    try:
        client = await rig.Client.connect(proxy.port)
        for n in range(5):  # the proxy learns the roles
            record(f"warm-up book: {await client.ask(rig.write('k', f'w{n}', 'book', 5000, f'kw{n}'))}")
            record(f"warm-up browse: {await client.ask(rig.read('k', f'b{n}', 'browse', 2000))}")
        primary.hangs = rig.TROUBLE
        record("client sends book a1, d=5000")
        client.send(rig.write("k", "a1", "book", 5000, "ka1"))
        first = asyncio.create_task(client.answer())
        await asyncio.sleep(0.2)
        proxy.signal(signal.SIGTERM)
        told = time.monotonic()
        await asyncio.sleep(SECOND_AFTER_S)
        if first.done():
            record(f"a1: {first.result()}")
        is_open = not client.reader.at_eof()
        second = None
        if is_open:
            record(f"the connection is open: client sends browse b9, d=2000, {SECOND_AFTER_S} s after SIGTERM")
            client.send(rig.read("k", "b9", "browse", 2000))

            async def second_answer():
                await first
                return await client.answer()
            second = asyncio.create_task(second_answer())
        else:
            record("the connection was closed by the proxy: nothing more is sent on it")
        await asyncio.sleep(max(0, told + KILL_AFTER_S - time.monotonic()))
        if proxy.process.returncode is None:
            proxy.signal(signal.SIGKILL)
        else:
            record(f"the proxy has ended with {proxy.process.returncode}")
        await asyncio.sleep(0.3)
        record(f"a1: {first.result() if first.done() else 'unanswered'}")
        if second:
            outcome = second.result() if second.done() else ("unanswered", b"")
            record(f"b9: {outcome}")
            if outcome[0] in ("unanswered", "closed"):
                breaks.append(f"b9, sent {SECOND_AFTER_S} s after SIGTERM, had no answer at SIGKILL,"
                              f" {KILL_AFTER_S} s after SIGTERM")
        elif rig.TROUBLE:
            raise rig.CannotRun("the proxy closed the connection although a request was open")
    finally:
        await proxy.stop()
    return breaks


rig.main(case, os.path.dirname(os.path.abspath(__file__)))

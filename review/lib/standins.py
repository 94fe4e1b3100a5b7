"""Stand-ins for everything around a small cluster of gateways, on loopback addresses and the real clock.

Servers, the counter, discovery, clients, and links that a case can cut or thin out. Python's standard library only.
All of it runs in one event loop; the gateways are separate processes, started with the command of the deploy file.
"""
import asyncio
import atexit
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


class Record:
    """What was sent, answered and run, one line each, with the seconds since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", buffering=1)

    def now(self):
        return time.monotonic() - self.started

    def note(self, *parts):
        line = f"{self.now():8.3f} " + " ".join(str(part) for part in parts)
        self.file.write(line + "\n")

    def say(self, *parts):
        self.note(*parts)
        print(*parts, flush=True)


_taken = set()


def free_port(kind=socket.SOCK_STREAM):
    """A free port below those that the system gives to outgoing connections, so that none of these takes it."""
    for _ in range(10_000):
        port = random.SystemRandom().randrange(12_000, 32_000)
        if port in _taken:
            continue
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _taken.add(port)
        return port
    raise CannotRun("no free port")


# --- HTTP ---------------------------------------------------------------------------------------------------------

async def read_message(reader):
    """Reads a head and a body with Content-Length. Returns (first line, headers, body), or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


def answer(status, body=b"", headers=()):
    reason = {200: "OK", 404: "Not Found", 500: "Error", 503: "Unavailable"}.get(status, "X")
    text = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in headers)
    return text.encode() + b"\r\n" + body


async def serve(handle, port):
    """Serves HTTP/1.1 on a port; `handle(first line, headers, body)` returns the bytes of the answer, or None to end
    the connection without an answer."""

    async def connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                reply = await handle(*message)
                if reply is None:
                    break
                writer.write(reply)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError):
            pass
        except asyncio.CancelledError:
            pass  # the end of the run
        finally:
            writer.close()

    return await asyncio.start_server(connection, HOST, port)


async def call(port, method, path, headers=(), body=b"", timeout=5.0):
    """One call on a new connection. Returns (status, headers, body); status 0 if there was no whole answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(HOST, port)
            text = f"{method} {path} HTTP/1.1\r\nHost: origin.svc\r\n"
            text += "".join(f"{name}: {value}\r\n" for name, value in headers)
            if method != "GET":
                text += f"Content-Length: {len(body)}\r\n"
            writer.write(text.encode() + b"\r\n" + body)
            line, reply_headers, reply = await read_message(reader)
            return int(line.split()[1]), reply_headers, reply
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, {}, b""
    finally:
        if writer:
            writer.close()


# --- Servers, counter, discovery ----------------------------------------------------------------------------------

class Servers:
    """All servers. They drop repeats of a key for the class's window, all of them together (`key_scope` all): a repeat
    is answered and does not run again."""

    def __init__(self, record, work_s=0.2, window_s=4.0):
        self.record = record
        self.work_s = work_s
        self.window_s = window_s
        self.keys = {}
        self.runs = []  # (time, id, key)
        self.full = False  # every waiting room is full: requests are turned away
        self.full_after_s = 0.0
        self.ports = []

    async def start(self, count):
        for number in range(count):
            port = free_port()
            self.ports.append(port)
            await serve(self.handler(number), port)

    def handler(self, number):
        load = [0]

        async def handle(line, headers, body):
            method, path, _ = line.split()
            if path in ("/ping", "/_load"):
                return answer(200, b"", [report(load[0])])
            call_id, key = headers.get("x-call-id", "-"), headers.get("idempotency-key", "-")
            if self.full:
                await asyncio.sleep(self.full_after_s)
                self.record.note("server", number, "turned-away", call_id, key)
                return answer(503, b"", [("X-Rejected", "1"), report(load[0])])
            now = time.monotonic()
            if now - self.keys.get(key, -1e9) < self.window_s:
                self.record.note("server", number, "repeat-dropped", call_id, key)
            else:
                if key != "-":
                    self.keys[key] = now
                self.runs.append((self.record.now(), call_id, key))
                self.record.note("server", number, "run", call_id, key, "budget-ms", headers.get("x-budget-ms"))
            load[0] += 1
            await asyncio.sleep(self.work_s)
            load[0] -= 1
            return answer(200, f"done {call_id}\n".encode(), [report(load[0])])

        return handle


def report(load):
    return "X-Load-Report", f"TEXT concurrent={load}, load_share={min(1.0, load / 8):.2f}"


class Counter:
    """The counter service."""

    def __init__(self):
        self.totals = {}

    async def start(self):
        self.port = free_port()
        await serve(self.handle, self.port)

    async def handle(self, line, headers, body):
        path, _, query = line.split()[1].partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&"))
        now = time.monotonic()
        total, ends = self.totals.get(path, (0.0, 0.0))
        if now >= ends:
            total, ends = 0.0, now + min(60.0, float(fields.get("ttl_ms", "60000")) / 1000)
        total += float(fields["add"])
        self.totals[path] = (total, ends)
        return answer(200, f"{total:.7g}".encode())


class Discovery:
    """The agent of one gateway: tells the same list all the time. Asked for news of the version that it has, it waits
    as long as asked and tells none (`whole`: it tells the whole list once more, as it may)."""

    def __init__(self, members, whole=False):
        self.document = {"revision": 1, "complete": True, "members": members}
        self.whole = whole

    async def start(self):
        self.port = free_port()
        await serve(self.handle, self.port)

    async def handle(self, line, headers, body):
        _, _, query = line.split()[1].partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&")) if query else {}
        if int(fields.get("from", "0")) < 1:
            return answer(200, json.dumps(self.document).encode())
        await asyncio.sleep(int(fields.get("hold_ms", "1")) / 1000)
        if self.whole:
            return answer(200, json.dumps(self.document).encode())
        return answer(200, json.dumps({"revision": 1, "complete": False, "members": []}).encode())


# --- Links --------------------------------------------------------------------------------------------------------

class Uplink:
    """The way from one gateway to one server. While it is down it says nothing, as the protocol page has it: open
    connections stay open and silent, and are reset once it is back; new ones never come up."""

    def __init__(self, target):
        self.target = target
        self.port = free_port()
        self.listener = None
        self.accepting = None
        self.is_down = False
        self.writers, self.tasks = set(), set()
        self.fillers = []

    async def up(self):
        if self.listener is None:
            self.listener = socket.socket()
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.listener.bind((HOST, self.port))
            self.listener.setblocking(False)
        elif not self.is_down:
            return
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        for filler in self.fillers:
            filler.close()
        self.fillers, self.is_down = [], False
        self.listener.listen(128)
        self.accepting = asyncio.create_task(self.accept())

    def down(self):
        """Nobody accepts any more, and the listener's short queue is filled, so that new connections hang."""
        self.is_down = True
        self.accepting.cancel()
        self.listener.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            self.fillers.append(filler)

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            near, _ = await loop.sock_accept(self.listener)
            near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = asyncio.create_task(self.connection(near))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def connection(self, near):
        ends = []
        try:
            reader, writer = await asyncio.open_connection(sock=near)
            ends.append(writer)
            far_reader, far = await asyncio.open_connection(HOST, self.target)
            ends.append(far)
            self.writers.update(ends)
            await asyncio.gather(self.copy(reader, far), self.copy(far_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for end in ends:
                self.writers.discard(end)
                end.close()

    async def copy(self, reader, writer):
        """Carries bytes, and the end. What comes while the way is down goes nowhere."""
        try:
            while True:
                data = await reader.read(65536)
                if self.is_down:
                    await asyncio.Event().wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class PeerNetwork:
    """The datagrams between the gateways. Each gateway reaches each other one at an address of its own, which is also
    the one that it sees that gateway's datagrams come from. A pair can be cut, and a share of the datagrams lost."""

    def __init__(self, count, listen_ports, seed=1):
        self.count = count
        self.listen_ports = listen_ports
        self.door = {}  # (a, b): the port at which a reaches b
        self.transports = {}
        self.cut = set()  # unordered pairs
        self.loss = 0.0
        self.lost = 0
        self.carried = 0
        self.draw = random.Random(seed)

    async def start(self):
        loop = asyncio.get_running_loop()
        for a in range(self.count):
            for b in range(self.count):
                if a != b:
                    transport, _ = await loop.create_datagram_endpoint(
                        lambda a=a, b=b: Door(self, a, b), local_addr=(HOST, free_port(socket.SOCK_DGRAM)))
                    self.transports[a, b] = transport
                    self.door[a, b] = transport.get_extra_info("sockname")[1]

    def carry(self, a, b, data):
        """A datagram of `a` for `b`."""
        if frozenset((a, b)) in self.cut:
            return
        if self.loss and self.draw.random() < self.loss:
            self.lost += 1
            return
        self.carried += 1
        self.transports[b, a].sendto(data, (HOST, self.listen_ports[b]))

    def isolate(self, a):
        self.cut = {frozenset((a, b)) for b in range(self.count) if b != a}

    def heal(self):
        self.cut = set()


class Door(asyncio.DatagramProtocol):
    def __init__(self, network, a, b):
        self.network, self.a, self.b = network, a, b

    def datagram_received(self, data, address):
        self.network.carry(self.a, self.b, data)


# --- Gateways -----------------------------------------------------------------------------------------------------

CLASS = "publish-cover"
DEADLINE_S = 6.0


def settings(number, count, deadline_s=DEADLINE_S, rate=100.0, burst=300.0):
    """Settings as in the example of the wire's page, with one keyed class and one class that is safe to repeat."""
    def of_class(name, effect, deadline, objective):
        return {"name": name, "effect": effect, "key_scope": "all", "streaming": False, "window": 4_000_000,
                "deadline": int(deadline * 1e6), "on_time": int(objective * 1e6), "credit": 3.0, "late_share": 0.2}
    return {
        "family": "gate", "layer": 0, "stages": "miniaturas", "tick": 4000, "membership_mode": "automatic",
        "balancers": count, "my_number": number, "weights": "none", "kinds": ["std-2c"],
        "zone": "hall-a", "zones": ["hall-a"],
        "bounds": {"conn_idle": 15_000_000, "dial_timeout": 250_000, "max_attempts": 6, "max_open": 26_959,
                   "max_retry_after": 500_000, "max_streams": 32, "may_cancel": True, "peer_messages": False,
                   "probing": True, "retry_after": True, "second_copies": True, "cpu_us_per_s": 539_190},
        "classes": [of_class(CLASS, "token", deadline_s, 2.0), of_class("preview", "pure", 1.5, 0.6)],
        "plans": [{"name": "ampliado", "per_second": rate, "peak_units": burst, "open": 0, "price": 1.6,
                   "extra_worth": 0.0, "excess_cost": 1.2, "ceiling_rate": 0.0, "cap_depth": 0.0, "tolerance": 0.0}],
        "clients": {"marks_retry": True},
        "specifics": {"counter": True, "count_limit": 30_000, "count_fee": 0.01, "units_top": 6,
                      "cost_after": False, "meter_period": 0, "peer_in_per_s": 0},
        "report": {"fields": ["concurrent", "load_share"], "via": "answers"},
        "rules": {"answer_slack": 16_000, "stop_sending_within": 1_000_000, "cold": 17_000_000, "cold_from": 0.28,
                  "fall_multiple": 3.0, "tip_after": 2_000_000, "must_ask_in": 10_000_000},
    }


_processes = []


@atexit.register
def end_processes():
    """Ends what a case has started and not ended itself."""
    for process in _processes:
        if process.poll() is None:
            process.kill()
            process.wait()


class Gateway:
    def __init__(self, cluster, number):
        self.cluster, self.number, self.name = cluster, number, f"g{number}"
        self.listen, self.ops = free_port(), free_port()
        self.process = None

    def start(self):
        folder = os.path.join(self.cluster.folder, self.name)
        os.makedirs(os.path.join(folder, "tmp"), exist_ok=True)
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            command = tomllib.load(file)["run"]
        environment = {
            "PATH": os.environ.get("PATH", ""), "TMPDIR": os.path.join(folder, "tmp"), "NODE_NAME": self.name,
            "NODE_LISTEN": f"{HOST}:{self.listen}", "NODE_OPS": f"{HOST}:{self.ops}",
            "NODE_DISCOVERY": f"{HOST}:{self.cluster.discoveries[self.number].port}",
            "NODE_CONFIG": os.path.join(folder, "config.json"), "NODE_FLEET": os.path.join(folder, "fleet.toml"),
            "NODE_LOG": os.environ.get("REVIEW_LOG", "info"),
        }
        log = open(os.path.join(folder, "log"), "a")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        log.close()
        _processes.append(self.process)
        self.cluster.record.note("gateway", self.name, "started")

    def signal(self, number):
        self.cluster.record.note("gateway", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    async def stats(self):
        status, _, body = await call(self.ops, "GET", "/stats", timeout=1.0)
        pairs = (line.split("=", 1) for line in body.decode().splitlines() if "=" in line)
        return {key: value for key, value in pairs} if status == 200 else {}

    async def figure(self, key):
        return float((await self.stats()).get("edge_node." + key, "-1"))


class Cluster:
    """A few gateways with all that is around them."""

    def __init__(self, record, count=3, servers=4, fleet="", work_s=0.2, whole_lists=False, **plan):
        self.record, self.count, self.fleet, self.plan = record, count, fleet, plan
        self.servers = Servers(record, work_s)
        self.server_count, self.whole_lists = servers, whole_lists
        self.counter = Counter()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.gateways, self.discoveries = [], []

    async def start(self):
        if not os.path.exists(os.path.join(ROOT, "target", "release", "quota-gateway")):
            raise CannotRun("the build of the deploy file has not run")
        await self.servers.start(self.server_count)
        await self.counter.start()
        udp = [free_port(socket.SOCK_DGRAM) for _ in range(self.count)]
        self.peers = PeerNetwork(self.count, udp)
        await self.peers.start()
        self.uplinks = []  # of each gateway, to each server
        for number in range(self.count):
            links = [Uplink(port) for port in self.servers.ports]
            for link in links:
                await link.up()
            self.uplinks.append(links)
            members = [{"id": f"s-{index}", "host_port": f"{HOST}:{link.port}", "locality": "hall-a",
                        "flavor": "std-2c", "cell": 0, "phase": "ready", "size": 1.0, "up_since_ms": 0}
                       for index, link in enumerate(links)]
            discovery = Discovery(members, self.whole_lists)
            await discovery.start()
            self.discoveries.append(discovery)
            self.gateways.append(Gateway(self, number))
            self.write_files(number, udp[number], members)
        for gateway in self.gateways:
            gateway.start()

    def write_files(self, number, udp, members):
        folder = os.path.join(self.folder, f"g{number}")
        os.makedirs(folder)
        config = {
            "name": f"g{number}", "listen": f"{HOST}:{self.gateways[number].listen}",
            "discovery": f"{HOST}:{self.discoveries[number].port}", "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "counter": f"{HOST}:{self.counter.port}",
            "known": {"revision": 1, "complete": True, "members": members},
            "settings": settings(number, self.count, **self.plan),
        }
        with open(os.path.join(folder, "config.json"), "w") as file:
            json.dump(config, file)
        names = ", ".join(f'"g{index}"' for index in range(self.count))
        text = f'fleet = "review"\nlisten = "{HOST}:{udp}"\nseats = [{names}]\n[peers]\n'
        for other in range(self.count):
            if other != number:
                text += f'g{other} = "{HOST}:{self.peers.door[number, other]}"\n'
        disk = os.path.join(folder, "disk")
        os.makedirs(disk)
        text += self.fleet.replace("{seats}", names).replace("{disk}", disk)
        with open(os.path.join(folder, "fleet.toml"), "w") as file:
            file.write(text)

    async def ready(self, within_s=35.0, votes=("fleet.ledger.votes",)):
        """Waits until every gateway serves and has its votes."""
        until = time.monotonic() + within_s
        for gateway in self.gateways:
            while True:
                if gateway.process.poll() is not None:
                    raise CannotRun(f"{gateway.name} ended: {self.log_tail(gateway)}")
                stats = await gateway.stats()
                status, _, _ = await call(gateway.listen, "GET", "/_health", timeout=1.0)
                if status == 200 and all(stats.get("edge_node." + vote) == "1" for vote in votes):
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"{gateway.name} is not ready: {status} {stats}")
                await asyncio.sleep(0.2)
        self.record.note("ready")

    def log_tail(self, gateway):
        with open(os.path.join(self.folder, gateway.name, "log")) as file:
            return file.read()[-600:]

    async def uplinks_up(self, numbers=None):
        for number in range(self.count) if numbers is None else numbers:
            for link in self.uplinks[number]:
                await link.up()

    def uplinks_down(self):
        for links in self.uplinks:
            for link in links:
                link.down()

    def stop(self, keep=None):
        for gateway in self.gateways:
            if gateway.process and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        if keep:
            shutil.rmtree(keep, ignore_errors=True)
            shutil.copytree(self.folder, keep, ignore=shutil.ignore_patterns("tmp"))
        shutil.rmtree(self.folder, ignore_errors=True)

    async def write(self, gateway, number, customer, key, left_ms, again=False):
        """A client's try of a keyed write. Returns (status, Location)."""
        call_id = f"{number:016x}"
        headers = [("X-Call-Id", call_id), ("X-Call-Class", CLASS), ("X-Plan", "ampliado"),
                   ("X-Budget-Ms", left_ms), ("Idempotency-Key", key),
                   ("X-Quota", f"units=1,spread={self.count},first=0")]
        if again:
            headers.append(("X-Again", "1"))
        self.record.note("client sent", call_id, key, f"g{gateway}")
        status, reply, _ = await call(self.gateways[gateway].listen, "POST", f"/api?customer={customer:016x}",
                                      headers, b"x" * 100, left_ms / 1000)
        self.record.note("client answered", call_id, key, status, reply.get("location", ""))
        return status, reply.get("location")

    async def write_state(self, location):
        """The status of an accepted write, as a client reads it, at the first gateway that knows it."""
        text = "no answer"
        for gateway in self.gateways:
            status, _, body = await call(gateway.listen, "GET", location, timeout=2.0)
            if status:
                text = body.decode().strip()
            if status == 200:
                break
        return text


def run_case(case, folder):
    """Runs a case: `case(record, trouble)` returns whether the rule held. Exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(os.path.join(folder, "record.txt"))
    record.note("trouble", int(trouble))
    try:
        held = asyncio.run(asyncio.wait_for(case(record, trouble), 115))
    except (CannotRun, OSError, TimeoutError, asyncio.TimeoutError) as error:
        record.say("the case could not run:", type(error).__name__, error)
        sys.exit(2)
    record.say("rule held" if held else "rule broken")
    sys.exit(0 if held else 1)


def budget_ms(elapsed_s):
    """What is left of the time that a client waits in all, over its tries."""
    return max(1, int((DEADLINE_S - elapsed_s) * 1000))


async def keyed_writes(cluster, count, per_s, first_number=0):
    """Clients that each send one keyed write, every one for another customer, and repeat it up to 2 times after a
    refusal, a failure or no answer (the key makes that safe within the class's window). Returns what was accepted
    with 202, as (number, key, Location), and the number that was answered 200."""
    accepted, served = [], []

    async def client(number):
        key = f"{0xfeed0000 + first_number + number:032x}"
        began = cluster.record.now()
        for nth in range(3):
            gateway = (number + nth) % cluster.count
            call_id = (first_number + number) * 16 + nth + 1
            left_ms = budget_ms(cluster.record.now() - began)
            status, location = await cluster.write(gateway, call_id, 1000 + number, key, left_ms, again=nth > 0)
            if status == 202:
                accepted.append((number, key, location))
            elif status == 200:
                served.append(number)
            if status in (200, 202):
                return
            await asyncio.sleep(0.4)

    clients = []
    for number in range(count):
        clients.append(asyncio.create_task(client(number)))
        await asyncio.sleep(1 / per_s)
    await asyncio.gather(*clients)
    return accepted, len(served)


async def open_writes(cluster, accepted):
    """The accepted writes that no server has run and that no gateway reports to have ended."""
    ran = {key for _, _, key in cluster.servers.runs}
    still_open = []
    for number, key, location in accepted:
        state = await cluster.write_state(location)
        cluster.record.note("write", location, key, "state:", state, "ran:", key in ran)
        if key not in ran and state.split()[0] in ("waiting", "sent"):
            still_open.append((location, state))
    return still_open

"""Stand-ins for the scripts of review/6 to review/10: the platform, clients and servers of a small deployment.

They follow PROTOCOL.md and DEPLOY.md: packets with the 34 byte head, flows, heartbeats, the operator's calls, the
routers' readiness checks and settings that are rendered from the templates of the deploy file. Everything runs on
loopback addresses and the real clock in one asyncio loop; only the project's programs are separate processes.
"""
import asyncio
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SYN, ACK, FIN, RST, BOUNCED = 16, 64, 4, 32, 1
DATAGRAM_PORT, READY_PORT, CONTROL_PORT, OUTBOUND_PORT, APP_PORT = 8172, 8167, 8166, 8173, 8080
INTERNAL_PORTS = [7720, 7735]
HEARTBEAT_S = 1.2
BOUNDS = {"seed-lag-s": 3, "addr-reuse-s": 2, "contact-ms": 4000, "ack-ms": 5000, "catch-up-s": 4, "drain-ms": 3000,
          "grace-s": 6, "config-apply-ms": 3000, "rollback-slack-ms": 250, "max-skew-ms": 12000, "warmup-factor": 1.5,
          "warmup-slack": 5, "evacuate-ms": 5000, "recovery-s": 12, "flow-reorder-ms": 2000, "flow-max-s": 60}


def address_number(text):
    return struct.unpack("!I", socket.inet_aton(text))[0]


def address_text(number):
    return socket.inet_ntoa(struct.pack("!I", number))


class Packet:
    """A packet of a flow; `src`/`dst` are (address, port) of the ends of the flow."""

    HEAD = struct.Struct("<IB3xIHIHHIII")

    def __init__(self, src, dst, flags, seq=0, ack=0, data=b"", echo=0):
        self.src, self.dst, self.flags, self.seq, self.ack = src, dst, flags, seq, ack
        self.data, self.echo = data, echo
        self.sum = None

    def computed_sum(self):
        fields = struct.pack("<BIHIHHII", self.flags & ~BOUNCED, address_number(self.src[0]), self.dst[1],
                             address_number(self.dst[0]), self.src[1], len(self.data), self.seq, self.ack)
        return zlib.crc32(self.data, zlib.crc32(fields, 0x1234567)) | 1

    def encode(self):
        total = self.computed_sum()
        return self.HEAD.pack(total, self.flags, address_number(self.src[0]), self.dst[1], address_number(self.dst[0]),
                              self.src[1], len(self.data), self.echo, self.seq, self.ack) + self.data

    @classmethod
    def decode(cls, data):
        total, flags, src, dport, dst, sport, length, echo, seq, ack = cls.HEAD.unpack_from(data)
        packet = cls((address_text(src), sport), (address_text(dst), dport), flags, seq, ack, data[cls.HEAD.size:], echo)
        packet.sum = total
        return packet if length == len(packet.data) else None

    def intact(self):
        return self.sum == self.computed_sum()


def render(template, values):
    """The placeholders and sections of DEPLOY.md that the templates of this project use."""

    def lookup(path):
        value = values
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                return None
        return value

    def section(match):
        return match.group(2) if lookup(match.group(1)) else ""

    def value(match):
        path, _, kind = match.group(1).partition("|")
        found = lookup(path)
        if kind == "json":
            return json.dumps(found)
        if found is None:
            return ""
        return ", ".join(map(str, found)) if isinstance(found, list) else str(found)

    template = re.sub(r"\{\{#([^}]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([^}#/]+)\}\}", value, template)


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, *words):
        self.file.write("%9.4f %s\n" % (time.monotonic() - self.begin, " ".join(map(str, words))))
        self.file.flush()


class Program:
    """One process of the project, with the command of the deploy file."""

    def __init__(self, deployment, role, machine):
        self.deployment, self.role, self.machine = deployment, role, machine
        self.process = None

    def start(self):
        description = self.deployment.deploy["roles"][self.role]
        settings = render(open(os.path.join(ROOT, description["template"])).read(), self.deployment.settings(self))
        path = os.path.join(self.deployment.folder, "%s-%s.ini" % (self.role, self.machine["name"]))
        with open(path, "w") as file:
            file.write(settings)
        command = [path if word.startswith("/etc/") else word for word in description["run"].split()]
        log = open(path[:-4] + ".log", "a")
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                        env={"PATH": os.environ["PATH"], "HOME": self.deployment.folder})
        self.deployment.record("started", self.role, self.machine["name"])

    def send_signal(self, number):
        self.process.send_signal(number)
        self.deployment.record("signal", signal.Signals(number).name, self.role, self.machine["name"])

    async def wait(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.01)
        self.deployment.record("ended", self.role, self.machine["name"], self.process.returncode)

    async def restart(self, number, pause_s):
        """Ends the process by a signal and starts it again after a short delay, as the platform does."""
        self.send_signal(number)
        await self.wait()
        await asyncio.sleep(pause_s)
        self.start()


class Deployment:
    """Front machines 127.NET.ZONE.1 with disks (entry and control), side machines 127.NET.ZONE.10+ (agent)."""

    def __init__(self, net, zones, sides, folder):
        self.net, self.zones = net, zones
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="cicadaward-review-")
        self.deploy = tomllib.load(open(os.path.join(ROOT, "deploy/system.toml"), "rb"))
        self.fronts, self.sides, self.programs = [], [], {}
        for number, zone in enumerate(zones, 1):
            self.fronts.append({"name": "frontend-%s-1" % zone, "ip": "127.%d.%d.1" % (net, number), "zone": zone})
        for number, (zone, service) in enumerate(sides):
            ip = "127.%d.%d.%d" % (net, 1 + zones.index(zone), 10 + number)
            self.sides.append({"name": "side-%s-%d" % (zone, number), "ip": ip, "zone": zone, "service": service})
        self.bootstrap = True
        for machine in self.fronts:
            self.programs["control", machine["name"]] = Program(self, "control", machine)
            self.programs["entry", machine["name"]] = Program(self, "entry", machine)
        for machine in self.sides:
            self.programs["agent", machine["name"]] = Program(self, "agent", machine)

    def settings(self, program):
        ip, role = program.machine["ip"], program.role
        listen = {"control": "%s:%d" % (ip, CONTROL_PORT)}
        if role != "control":
            listen = {"datagram-addr": "%s:%d" % (ip, DATAGRAM_PORT), "ready-addr": "%s:%d" % (ip, READY_PORT)}
        if role == "agent":
            listen["outbound"] = "%s:%d" % (ip, OUTBOUND_PORT)
            listen["control"] = "%s:%d" % (ip, CONTROL_PORT)
        values = {"node": program.machine["name"], "zone": program.machine["zone"], "ip": ip, "listen": listen,
                  "internal-ports": INTERNAL_PORTS, "bootstrap": self.bootstrap, "heartbeat-ms": int(1000 * HEARTBEAT_S),
                  "seeds": ["%s:%d" % (front["ip"], CONTROL_PORT) for front in self.fronts[:3]],
                  "fault-tolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS,
                  "limits": {"link-mbps": 1000.0, "memory-mb": 260}, "app": "%s:%d" % (ip, APP_PORT)}
        if role == "control":
            values["data-dir"] = os.path.join(self.folder, "data-" + program.machine["name"])
        return values

    def start_all(self):
        for program in self.programs.values():
            program.start()

    def stop_all(self):
        for program in self.programs.values():
            if program.process and program.process.poll() is None:
                program.process.send_signal(signal.SIGCONT)
                program.process.kill()
        for program in self.programs.values():
            if program.process:
                program.process.wait()

    def remove_files(self):
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


async def http(address, method, path, body=None, timeout=1.0):
    """One call on a connection of its own. Returns (status, headers, body), or (0, {}, reason) without an answer."""

    async def call():
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = b"" if body is None else body.encode()
            head = "%s %s HTTP/1.1\r\nHost: %s:%d\r\nConnection: close\r\nContent-Type: application/json\r\n" \
                   "Content-Length: %d\r\n\r\n" % (method, path, address[0], address[1], len(data))
            writer.write(head.encode() + data)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:]) if k}
            return int(head[0].split()[1]), headers, await reader.readexactly(int(headers.get("content-length", 0)))
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError) as error:
        return 0, {}, str(error).encode()


class Operator:
    def __init__(self, deployment):
        self.deployment = deployment
        self.next = 0

    async def order(self, method, path, body=None, limit_s=30):
        """Sends the order to one daemon after the other until one acknowledges it. Follows a 307 twice."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            front = self.deployment.fronts[self.next % len(self.deployment.fronts)]
            self.next += 1
            address, target = (front["ip"], CONTROL_PORT), path
            for _ in range(3):
                status, headers, answer = await http(address, method, target, body)
                if status != 307:
                    break
                host, _, rest = headers["location"][len("http://"):].partition("/")
                address, target = (host.split(":")[0], int(host.split(":")[1])), "/" + rest
            self.deployment.record("operator", method, path, "at", front["name"], "->", status)
            if status // 100 == 2 or status // 100 == 4:
                return status, answer
            await asyncio.sleep(0.2)
        return 0, b""


class Router:
    """Forwards packets of the clients of a zone. Checks readiness twice a second; out of rotation after two misses."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.misses = {front["name"]: 2 for front in deployment.fronts}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)

    async def run(self):
        while True:
            await asyncio.gather(*(self.check(front) for front in self.deployment.fronts))
            await asyncio.sleep(0.5)

    async def check(self, front):
        status, _, _ = await http((front["ip"], READY_PORT), "GET", "/v1/ready", timeout=0.4)
        self.misses[front["name"]] = 0 if status == 200 else self.misses[front["name"]] + 1

    def ready_count(self):
        return sum(count < 2 for count in self.misses.values())

    def forward(self, packet, zone):
        fronts = self.deployment.fronts
        own = [front for front in fronts if front["zone"] == zone]
        ready = [front for front in own if self.misses[front["name"]] < 2]
        if not ready:
            ready = [front for front in fronts if self.misses[front["name"]] < 2] or own
        number = zlib.crc32(("%s:%d>%s:%d" % (packet.src + packet.dst)).encode())
        front = ready[number % len(ready)]
        try:
            self.socket.sendto(packet.encode(), (front["ip"], DATAGRAM_PORT))
        except BlockingIOError:
            pass


class Server:
    """A server beside an agent. Each start is a new incarnation with a new id."""

    def __init__(self, deployment, side, slots=50, warmup_s=0.0, work_s=0.005):
        self.deployment, self.side, self.slots, self.work_s = deployment, side, slots, work_s
        self.warmup_s = warmup_s
        self.running = False
        self.starts = 0
        self.on_syn = self.on_request = lambda *_: None
        self.clock_ahead_s = 0.0  # of the machine's time of day when the server starts
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        self.socket.bind((side["ip"], APP_PORT))
        self.socket.setblocking(False)
        asyncio.get_running_loop().add_reader(self.socket.fileno(), self.readable)

    def start(self, cold=False):
        self.starts += 1
        self.running, self.draining = True, False
        self.id = "i-%s-%d" % (self.side["name"], self.starts)
        self.born_ms = int(1000 * (time.time() + self.clock_ahead_s))
        self.started = time.monotonic()
        self.cold_until = self.started + (self.warmup_s if cold else 0)
        self.seq = 0
        self.flows = {}
        self.deployment.record("server", self.id, "starts", "cold" if cold else "warm", "born", self.born_ms)
        self.beats = asyncio.ensure_future(self.beat())

    def crash(self):
        self.running = False
        self.beats.cancel()
        self.flows = {}
        self.deployment.record("server", self.id, "crashes")

    async def beat(self):
        """A heartbeat each 1.2 s; one without an acknowledgement is followed by another after 0.2 s."""
        while True:
            self.seq += 1
            left = max(0, int(1000 * (self.cold_until - time.monotonic())))
            body = {"service": self.side["service"], "address": "%s:%d" % (self.side["ip"], APP_PORT),
                    "zone": self.side["zone"], "version": "v1", "slots": self.slots,
                    "state": "draining" if self.draining else "ready", "warmup-left-ms": left, "seq": self.seq,
                    "born": self.born_ms}
            sent = time.monotonic()
            status, _, _ = await http((self.side["ip"], CONTROL_PORT), "PUT", "/v1/instances/" + self.id,
                                      json.dumps(body))
            self.deployment.record("heartbeat", self.id, "seq", self.seq, "->", status)
            await asyncio.sleep(max(0.0, sent + HEARTBEAT_S - time.monotonic()) if status // 100 == 2 else 0.2)

    def readable(self):
        for _ in range(256):
            try:
                data = self.socket.recv(2048)
            except BlockingIOError:
                return
            if self.running:
                self.handle(Packet.decode(data))

    def send(self, packet):
        self.socket.sendto(packet.encode(), (self.side["ip"], OUTBOUND_PORT))

    def bounce(self, packet):
        packet.flags |= BOUNCED
        self.send(packet)

    def handle(self, packet):
        key = packet.src
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if not flow or flow["isn"] != packet.seq:
                flow = {"isn": packet.seq, "seq": int.from_bytes(os.urandom(4), "big"), "received": packet.seq + 1 & 0xffffffff,
                        "open": False, "answer": None}
                self.flows[key] = flow
                self.on_syn(self, packet)
            self.send(Packet(packet.dst, packet.src, SYN | ACK, flow["seq"], packet.seq + 1 & 0xffffffff))
            return
        if not flow or (not flow["open"] and packet.ack != flow["seq"] + 1 & 0xffffffff):
            self.bounce(packet)
            return
        if flow.get("ended"):  # a FIN is answered with an ACK, and data with an RST
            if packet.flags & FIN:
                self.send(Packet(packet.dst, packet.src, ACK, packet.ack, packet.seq + 1 & 0xffffffff))
            elif packet.data:
                self.deployment.record("server", self.id, "answers data of", packet.src[1], "with a reset: ended flow")
                self.send(Packet(packet.dst, packet.src, RST, packet.ack, packet.seq + len(packet.data) & 0xffffffff))
            return
        if not flow["open"]:
            flow["open"], flow["next"] = True, flow["seq"] + 1 & 0xffffffff
        if packet.flags & RST:
            del self.flows[key]
            return
        if packet.data and packet.seq == flow["received"]:
            flow["received"] = packet.seq + len(packet.data) & 0xffffffff
            if packet.data.startswith(b"part "):  # of a body: only its last packet makes it a whole request
                self.send(Packet(packet.dst, packet.src, ACK, flow["next"], flow["received"]))
                return
            self.on_request(self, packet)
            self.deployment.record("run", packet.data[:40].decode(), "by", self.id)
            answer = Packet(packet.dst, packet.src, ACK, flow["next"], flow["received"], b"answer to " + packet.data)
            flow["next"] = flow["next"] + len(answer.data) & 0xffffffff
            flow["answer"] = answer
            asyncio.get_running_loop().call_later(self.work_s, self.send, answer)
        elif packet.data.startswith(b"part "):
            self.send(Packet(packet.dst, packet.src, ACK, flow["next"], flow["received"]))
        elif packet.data and flow["answer"] and packet.seq + len(packet.data) & 0xffffffff == flow["received"]:
            self.send(flow["answer"])  # a repeated request: its answer was lost
        if packet.flags & FIN:
            self.send(Packet(packet.dst, packet.src, FIN | ACK, flow["next"], packet.seq + 1 & 0xffffffff))
            flow["ended"] = True


class Clients:
    """Clients of one zone at 127.NET.ZONE.100, all on one socket."""

    def __init__(self, deployment, router, zone):
        self.deployment, self.router, self.zone = deployment, router, zone
        self.ip = "127.%d.%d.100" % (deployment.net, 1 + deployment.zones.index(zone))
        self.port = 1024
        self.flows = {}
        self.resets = []  # of open flows
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        self.socket.bind((self.ip, DATAGRAM_PORT))
        self.socket.setblocking(False)
        asyncio.get_running_loop().add_reader(self.socket.fileno(), self.readable)

    def readable(self):
        for _ in range(256):
            try:
                data = self.socket.recv(2048)
            except BlockingIOError:
                return
            packet = Packet.decode(data)
            flow = self.flows.get(packet.dst[1])
            if flow:
                flow.handle(packet)

    def flow(self, route, port=None):
        if port is None:
            self.port += 1
            port = self.port
        flow = ClientFlow(self, (self.ip, port), route)
        self.flows[port] = flow
        return flow


class ClientFlow:
    def __init__(self, clients, end, route):
        self.clients, self.end, self.route = clients, end, route
        self.isn = int.from_bytes(os.urandom(4), "big")
        self.next = self.isn + 1 & 0xffffffff
        self.ack = 0
        self.is_open = self.reset = False
        self.acknowledged = self.next
        self.answers = []
        self.changed = asyncio.Event()

    def send(self, flags, seq, ack, data=b""):
        self.clients.router.forward(Packet(self.end, self.route, flags, seq, ack, data), self.clients.zone)

    def handle(self, packet):
        if packet.flags & RST:
            near = (packet.seq - self.ack + 76800) & 0xffffffff <= 2 * 76800
            if not self.is_open or near:
                self.reset = True
                self.clients.deployment.record("client", self.end[1], "gets a reset", "of the system" if packet.sum == 0
                                               else "of the server", "open" if self.is_open else "not open")
                if self.is_open:
                    self.clients.resets.append((time.monotonic(), self, packet.sum == 0))
        elif packet.flags & SYN:
            if not self.is_open and packet.ack == self.next:
                self.is_open = True
                self.ack = packet.seq + 1 & 0xffffffff
        elif packet.data and self.is_open and packet.seq == self.ack:
            self.ack = packet.seq + len(packet.data) & 0xffffffff
            self.answers.append(packet.data)
            self.send(ACK, self.next, self.ack)
        if packet.flags & ACK and not packet.flags & RST and self.is_open:
            if (packet.ack - self.acknowledged) & 0xffffffff < 1 << 31:
                self.acknowledged = packet.ack
        self.changed.set()

    async def until(self, condition, timeout):
        end = time.monotonic() + timeout
        while not condition() and time.monotonic() < end:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                pass
        return condition()

    async def open(self):
        """A SYN and its copies after 200 and 600 ms. Gives up 1.4 s after the first, or with a reset."""
        self.sent = time.monotonic()
        for copy, pause in enumerate((0.2, 0.4, 0.8)):
            self.send(SYN, self.isn, copy)
            if await self.until(lambda: self.is_open or self.reset, pause):
                break
        if self.is_open:
            self.send(ACK, self.next, self.ack)
        return self.is_open

    async def request(self, text, deadline_s=3.0):
        """Sends one request and repeats it after 200 ms, doubled up to 1.6 s. True when the answer is complete."""
        data = text.encode()
        seq, count = self.next, len(self.answers)
        self.next = seq + len(data) & 0xffffffff
        end, pause = time.monotonic() + deadline_s, 0.2
        self.clients.deployment.record("client", self.end[1], "sends", text)
        while time.monotonic() < end and not self.reset:
            self.send(ACK, seq, self.ack, data)
            if await self.until(lambda: len(self.answers) > count or self.reset, min(pause, end - time.monotonic())):
                break
            pause = min(1.6, 2 * pause)
        answered = len(self.answers) > count and self.answers[count] == b"answer to " + data
        self.clients.deployment.record("client", self.end[1], "answered" if answered else "got no answer to", text)
        return answered

    async def upload(self, text, parts, deadline_s=8.0):
        """A request in `parts` packets of 1,200 bytes and a last one, at most 16 unacknowledged."""
        count, packets = len(self.answers), []
        for number in range(parts + 1):
            data = (b"part %d of " % number + text.encode()).ljust(1200, b".") if number < parts else text.encode()
            packets.append((self.next, data))
            self.next = self.next + len(data) & 0xffffffff
        end, pause, sent = time.monotonic() + deadline_s, 0.2, 0
        self.clients.deployment.record("client", self.end[1], "sends", text, "in", parts + 1, "packets")
        while time.monotonic() < end and not self.reset and len(self.answers) <= count:
            base = self.acknowledged
            open_packets = [p for p in packets if (p[0] - base) & 0xffffffff < 1 << 31][:16]
            for seq, data in open_packets:
                self.send(ACK, seq, self.ack, data)
            moved = await self.until(lambda: self.reset or len(self.answers) > count or not open_packets
                                     or (self.acknowledged - open_packets[-1][0]) & 0xffffffff < 1 << 31
                                     and self.acknowledged != open_packets[-1][0], min(pause, end - time.monotonic()))
            if not open_packets:
                await self.until(lambda: self.reset or len(self.answers) > count, min(pause, end - time.monotonic()))
                self.send(ACK, packets[-1][0], self.ack, packets[-1][1])
            pause = 0.2 if moved else min(1.6, 2 * pause)
        answered = len(self.answers) > count and self.answers[count] == b"answer to " + packets[-1][1]
        self.clients.deployment.record("client", self.end[1], "answered" if answered else "got no answer to", text)
        return answered

    async def close(self):
        self.send(FIN | ACK, self.next, self.ack)
        await asyncio.sleep(0.5)
        self.clients.flows.pop(self.end[1], None)


def route(name, host, service, kind="safe"):
    return {"name": name, "host": host, "path-prefix": "/443/", "kind": kind, "timeout-ms": 3000,
            "target-latency-ms": 300, "priority": 1, "service": service, "max-attempts": 2}


def configuration(version, routes, services, idle_timeout_ms=15000):
    """`services`: name -> (warmup-s, warmup-per-s)."""
    return json.dumps({"version": version, "routes": routes, "services": [
        {"name": name, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": False,
         "warmup-s": warm[0], "warmup-per-s": warm[1]} for name, warm in services.items()],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                   "idle-timeout-ms": idle_timeout_ms}})


async def wait_for(condition, timeout):
    end = time.monotonic() + timeout
    while not condition() and time.monotonic() < end:
        await asyncio.sleep(0.02)
    return condition()


def main(case, folder, net, zones, sides):
    """Runs `case(deployment, trouble)`, which returns True when the rule held. Exits with 0, 1, or 2 on any error."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(net, zones, sides, folder)
    code = 2
    loop = asyncio.new_event_loop()

    def stop(number, _):
        raise SystemExit("signal %d" % number)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, stop)
    signal.alarm(115)
    try:
        held = loop.run_until_complete(asyncio.wait_for(case(deployment, trouble), 110))
        code = 0 if held else 1
        print("the rule", "held" if held else "was broken", "(TROUBLE=%d)" % trouble)
    except BaseException as error:  # any failure of the case itself
        print("the case could not run:", repr(error))
        deployment.record("error", repr(error))
    finally:
        deployment.stop_all()
        deployment.record("exit", code)
        deployment.remove_files()
    sys.stdout.flush()
    os._exit(code)  # the stand-ins' tasks run on, and there is nothing else to wait for

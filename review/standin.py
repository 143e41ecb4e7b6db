"""Stand-ins for the platform around real processes of the system: machines, routers, clients, servers and an operator.

Everything runs on loopback addresses of one network 127.N.0.0/16 with ports that are free on it. The programs are started
with the commands and templates of deploy/system.toml. Packets, heartbeats and the operator's calls follow PROTOCOL.md.
Python's standard library only.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import zlib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
PROGRAM_FOLDER = os.environ.get("REVIEW_PROGRAMS", ROOT)  # holds target/bin, as the deploy file says

SYN, ACK, FIN, RST, BOUNCED = 16, 64, 4, 32, 1
HEAD = struct.Struct("<IB3sIHIHHIII")
KEY = b"stand-in"

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


def checksum(flags, src, sport, dst, dport, seq, ack, data):
    head = struct.pack("<BIHIHHII", flags & ~BOUNCED, src, dport, dst, sport, len(data), seq, ack)
    return zlib.crc32(KEY + head + data) | 1


class Packet:
    """One datagram of a flow. src, sport, dst, dport are those of the sender's end."""

    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, data=b"", echo=0, total=None):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data, self.echo = flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data, echo
        self.sum = total

    def encode(self):
        total = self.sum
        if total is None:
            total = checksum(self.flags, self.src, self.sport, self.dst, self.dport, self.seq, self.ack, self.data)
        return HEAD.pack(total, self.flags, b"\0\0\0", self.src, self.dport, self.dst, self.sport, len(self.data), self.echo,
                         self.seq, self.ack) + self.data

    @staticmethod
    def decode(raw):
        if len(raw) < HEAD.size:
            return None
        total, flags, _, src, dport, dst, sport, size, echo, seq, ack = HEAD.unpack_from(raw)
        if size != len(raw) - HEAD.size:
            return None
        return Packet(src, sport, dst, dport, flags, seq, ack, raw[HEAD.size:], echo, total)

    def is_intact(self):
        return self.sum == checksum(self.flags, self.src, self.sport, self.dst, self.dport, self.seq, self.ack, self.data)

    def is_own_reset(self):
        return self.flags & RST and self.sum == 0


class Udp(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def datagram_received(self, data, address):
        self.handler(data, address)

    @staticmethod
    async def bind(address, handler):
        raw = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        raw.setblocking(False)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        raw.bind(address)
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: Udp(handler), sock=raw)
        return transport


async def http(address, method, path, body=None, timeout=1.0):
    """One call on a new connection. Returns (status, headers, body), or None for a failure or no response in time."""

    async def call():
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = b"" if body is None else body.encode()
            head = f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\nConnection: close\r\n"
            if body is not None:
                head += "Content-Type: application/json\r\n"
            writer.write((head + f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
            await writer.drain()
            raw = await reader.read(-1)
        finally:
            writer.close()
        top, _, rest = raw.partition(b"\r\n\r\n")
        lines = top.decode("latin-1").split("\r\n")
        if len(lines[0].split()) < 2:
            return None
        headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}
        return int(lines[0].split()[1]), headers, rest.decode("utf-8", "replace")

    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, ValueError):
        return None


def render(template, fields):
    """The part of the platform's template language that the deploy file uses."""

    def value(name, scope):
        current = scope
        for part in name.split("."):
            if isinstance(current, list):
                current = current[int(part)] if part.isdigit() and int(part) < len(current) else None
            else:
                current = current.get(part) if isinstance(current, dict) else None
            if current is None:
                return None
        return current

    def section(match):
        return render(match.group(2), fields) if value(match.group(1), fields) not in (None, False) else ""

    def place(match):
        name, _, form = match.group(1).partition("|")
        found = value(name, fields)
        if form == "json" or isinstance(found, dict):
            return json.dumps(found)
        if isinstance(found, list):
            return ",".join(str(item) for item in found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([^}]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([^}#/^]+)\}\}", place, text)


class Process:
    """A role on a machine. kill(), stop() and cont() are the signals; start() renders the settings again."""

    def __init__(self, system, role, node, fields):
        self.system, self.role, self.node, self.fields = system, role, node, fields
        self.handle = None
        self.starts = 0

    def start(self, bootstrap=False):
        fields = dict(self.fields, bootstrap=bootstrap)
        path = os.path.join(self.system.folder, f"{self.node}-{self.role}.ini")
        with open(os.path.join(ROOT, "deploy", f"{self.role}.ini")) as template, open(path, "w") as out:
            out.write(render(template.read(), fields))
        self.starts += 1
        log = open(self.log_path(), "ab")
        self.handle = subprocess.Popen([os.path.join(PROGRAM_FOLDER, "target/bin/cicadaward-flow"), self.role, "--config", path],
                                       stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT)
        log.close()

    def log_path(self):
        return os.path.join(self.system.folder, f"{self.node}-{self.role}.log")

    def log(self):
        with open(self.log_path(), errors="replace") as lines:
            return lines.read().splitlines()

    def signal(self, number):
        if self.handle and self.handle.poll() is None:
            self.handle.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.handle:
            self.handle.wait()

    def freeze(self):
        self.signal(signal.SIGSTOP)

    def thaw(self):
        self.signal(signal.SIGCONT)

    def is_running(self):
        return self.handle is not None and self.handle.poll() is None


class Record:
    def __init__(self, path):
        self.out = open(path, "w")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def write(self, kind, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.out.write(f"{self.now():9.4f} {kind} {text}\n")
        self.out.flush()


class System:
    """A small deployment: in each zone one frontend machine with a disk (roles entry and control) and servers with agents.

    `entry_only` lists the zones of further frontend machines, without a disk, that run only the role entry.
    """

    def __init__(self, case_folder, zones=3, bounds=None, heartbeat_ms=1200, entry_only=()):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.random = random.Random(7)
        self.zones = [f"zone-{chr(97 + i)}" for i in range(zones)]
        self.network = self._find_network()
        self.heartbeat_ms = heartbeat_ms
        self.bounds = {"seed-lag-s": 3, "addr-reuse-s": 2, "contact-ms": 4000, "ack-ms": 5000, "catch-up-s": 4, "drain-ms": 3000,
                       "grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 3000, "rollback-slack-ms": 250,
                       "max-skew-ms": 12000, "warmup-factor": 1.5, "warmup-slack": 5, "evacuate-ms": 5000, "recovery-s": 12,
                       "flow-reorder-ms": 2000, "flow-max-s": 60}
        self.bounds.update(bounds or {})
        self.entries, self.controls, self.agents = [], [], []
        self.front_zones = list(range(zones)) + list(entry_only)
        self.ready = [False] * len(self.front_zones)
        self.misses = [2] * len(self.front_zones)
        self.tasks = []
        for i, zone in enumerate(self.front_zones):
            fields = self._fields("frontend", zone, self.front_ip(i), ["frontend", "control"])
            fields["listen"] = {"datagram-addr": self.address(self.front_ip(i), "datagram"),
                                "ready-addr": self.address(self.front_ip(i), "ready"),
                                "control": self.address(self.front_ip(i), "control")}
            node = f"frontend-{i}"
            self.entries.append(Process(self, "entry", node, fields))
            if i < zones:
                control = dict(fields, **{"data-dir": os.path.join(self.folder, f"data-{i}")})
                self.controls.append(Process(self, "control", node, control))

    # Picks a network of loopback addresses and ports on which nothing listens.
    def _find_network(self):
        names = ["datagram", "ready", "control", "outbound", "app", "peer0", "peer1", "m0", "m1", "m2"]
        for _ in range(200):
            network = random.randrange(16, 240)
            base = random.randrange(12000, 28000)
            self.ports = {name: base + i for i, name in enumerate(names)}
            self.ports.update(m0=9151, m1=9152, m2=9153)
            try:
                for last in (f"127.{network}.1.10", f"127.{network}.1.50", f"127.{network}.9.1"):
                    for port in self.ports.values():
                        for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                            with socket.socket(socket.AF_INET, kind) as probe:
                                probe.bind((last, port))
                return network
            except OSError:
                continue
        raise RuntimeError("no free ports")

    def front_ip(self, number):
        return f"127.{self.network}.{number + 1}.10"

    def side_ip(self, zone, number):
        return f"127.{self.network}.{zone + 1}.{50 + number}"

    def client_ip(self, number=1):
        return f"127.{self.network}.9.{number}"

    def address(self, ip, port):
        return f"{ip}:{self.ports[port]}"

    def _fields(self, machine_class, zone, ip, serves):
        node = f"{machine_class}-{self.zones[zone]}"
        return {"node": node, "machine-class": machine_class, "serves": serves, "ip": ip, "zone": self.zones[zone],
                "region": "region", "internal-ports": [self.ports["peer0"], self.ports["peer1"]],
                "seeds": [self.address(self.front_ip(i), "control") for i in range(min(3, len(self.zones)))],
                "count-loss": machine_class == "frontend", "discovery": "local", "entry": "announce",
                "heartbeat-ms": self.heartbeat_ms, "hash-fn": "mod", "deploy-mode": "agent", "config_mode": "highest",
                "zones": {zone: "region" for zone in self.zones}, "fault-tolerance": {"machines": 1, "zones": 1, "regions": 0},
                "bounds": self.bounds}

    def add_agent(self, zone, service, number):
        ip = self.side_ip(zone, number)
        fields = self._fields("side", zone, ip, ["side"])
        fields.update(app=self.address(ip, "app"), service=service)
        fields["listen"] = {"datagram-addr": self.address(ip, "datagram"), "outbound": self.address(ip, "outbound"),
                            "ready-addr": self.address(ip, "ready"), "control": self.address(ip, "control")}
        process = Process(self, "agent", f"side-{self.zones[zone]}-{number}", fields)
        process.zone, process.ip = zone, ip
        self.agents.append(process)
        return process

    def start(self):
        for process in self.entries + self.controls + self.agents:
            process.start(bootstrap=True)
        self.tasks.append(asyncio.ensure_future(self._probe()))

    async def _probe(self):
        while True:
            begin = time.monotonic()
            answers = await asyncio.gather(*(http((self.front_ip(i), self.ports["ready"]), "GET", "/v1/ready", timeout=0.4)
                                             for i in range(len(self.entries))))
            for i, answer in enumerate(answers):
                self.misses[i] = 0 if answer and answer[0] == 200 else self.misses[i] + 1
                if (self.misses[i] < 2) != self.ready[i]:
                    self.ready[i] = self.misses[i] < 2
                    self.record.write("rotation", entry=i, ready=self.ready[i])
            await asyncio.sleep(max(0.0, 0.5 - (time.monotonic() - begin)))

    # The router: an entry in rotation of the client's zone; all of the zone's when fewer than half are in rotation; those
    # of other zones when none is.
    def route(self, zone, src, sport, dst, dport):
        own = [i for i, place in enumerate(self.front_zones) if place == zone]
        ready = [i for i in own if self.ready[i]]
        if 0 < 2 * len(ready) < len(own):
            ready = own
        if not ready:
            ready = [i for i, is_ready in enumerate(self.ready) if is_ready] or own
        return ready[zlib.crc32(struct.pack("<IHIH", src, sport, dst, dport)) % len(ready)]

    async def wait_ready(self, limit=20.0):
        end = time.monotonic() + limit
        while not all(self.ready):
            if time.monotonic() > end:
                raise RuntimeError("the entries did not become ready")
            await asyncio.sleep(0.1)

    def close(self):
        for task in self.tasks:
            task.cancel()
        for process in self.entries + self.controls + self.agents:
            process.kill()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Operator:
    """Sends an order again, to any daemon, until it has a clear response. Follows a 307 twice."""

    def __init__(self, system):
        self.system = system

    async def once(self, index, method, path, body=None, timeout=1.0):
        address = (self.system.front_ip(index), self.system.ports["control"])
        answer = None
        for _ in range(3):
            answer = await http(address, method, path, body, timeout)
            if not answer or answer[0] != 307:
                return answer
            found = re.match(r"http://([0-9.]+):(\d+)", answer[1].get("location", ""))
            if not found:
                return answer
            address = (found.group(1), int(found.group(2)))
        return answer

    async def is_leader(self, index):
        """True when the daemon answers a read of the configuration itself."""
        answer = await http((self.system.front_ip(index), self.system.ports["control"]), "GET", "/v1/config")
        return answer is not None and answer[0] == 200

    async def order(self, method, path, body=None, limit=15.0, timeout=1.0, name=None, first=None):
        """Returns the time of the acknowledgement, or None when there was none within `limit`."""
        record = self.system.record
        name = name or f"{method} {path}"
        begin = record.now()
        record.write("order-sent", order=name.replace(" ", "_"))
        wait, answer = 0.05, None
        start = self.system.random.randrange(len(self.system.controls)) if first is None else first
        for attempt in range(10000):
            if record.now() - begin > limit:
                break
            answer = await self.once((start + attempt) % len(self.system.controls), method, path, body, timeout)
            if answer and 200 <= answer[0] < 300:
                record.write("order-acknowledged", order=name.replace(" ", "_"), after=f"{record.now() - begin:.3f}")
                return record.now()
            if answer and 400 <= answer[0] < 500 and answer[0] not in (408, 429):
                break
            await asyncio.sleep(wait)
            wait = min(wait * 1.5, 0.5)
        record.write("order-not-acknowledged", order=name.replace(" ", "_"), last=answer and (answer[0], answer[2].strip()))
        return None


class Server:
    """A server beside an agent. One packet carries a request and one packet its response."""

    def __init__(self, system, agent, service, name, work_s=0.02, slots=4, warm_up_left=None):
        self.system, self.agent, self.service, self.name = system, agent, service, name
        self.work_s, self.slots = work_s, slots
        self.warm_up_left = warm_up_left or (lambda: 0)
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.flows = {}
        self.acknowledged_draining = None
        self.runs, self.openings = [], []
        self.task = None

    async def start(self):
        ports = self.system.ports
        self.agent_address = (self.agent.ip, ports["outbound"])
        self.control = (self.agent.ip, ports["control"])
        self.socket = await Udp.bind((self.agent.ip, ports["app"]), self.on_datagram)
        self.task = asyncio.ensure_future(self.beat())
        self.system.tasks.append(self.task)

    def crash(self):
        self.task.cancel()
        self.socket.close()
        self.flows.clear()

    async def heartbeat(self):
        self.seq += 1
        state = self.state
        body = {"service": self.service, "address": f"{self.agent.ip}:{self.system.ports['app']}",
                "zone": self.system.zones[self.agent.zone], "version": "v1", "slots": self.slots, "state": state,
                "warmup-left-ms": int(self.warm_up_left()), "seq": self.seq, "born": self.born}
        answer = await http(self.control, "PUT", f"/v1/instances/{self.name}", json.dumps(body))
        is_acknowledged = answer is not None and 200 <= answer[0] < 300
        if is_acknowledged and state == "draining" and self.acknowledged_draining is None:
            self.acknowledged_draining = self.system.record.now()
            self.system.record.write("draining-acknowledged", server=self.name)
        return is_acknowledged

    # About every heartbeat-ms; one that was not acknowledged is sent again soon, to the only daemon that there is.
    async def beat(self):
        while True:
            begin = time.monotonic()
            interval = self.system.heartbeat_ms / 1000 if await self.heartbeat() else 0.2
            while time.monotonic() - begin < interval:
                state = self.state
                await asyncio.sleep(0.02)
                if self.state != state:
                    break

    def drain(self):
        self.state = "draining"

    def send(self, flow, flags, data=b"", seq=None):
        src, sport, dst, dport = flow["key"]
        packet = Packet(dst, dport, src, sport, flags, flow["seq"] if seq is None else seq, flow["next"], data)
        self.socket.sendto(packet.encode(), self.agent_address)

    def on_datagram(self, raw, _):
        packet = Packet.decode(raw)
        if not packet or not packet.is_intact():
            self.system.record.write("forged-packet", server=self.name)
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self.on_syn(key, flow, packet)
        elif flow is None:
            packet.flags |= BOUNCED
            self.socket.sendto(packet.encode(), self.agent_address)
        elif flow["ended"]:
            if packet.flags & FIN:
                self.send(flow, ACK)
            elif packet.data:
                self.send(flow, RST | ACK)
        else:
            self.on_packet(flow, packet)

    def on_syn(self, key, flow, packet):
        if flow and not flow["ended"] and flow["client-seq"] == packet.seq:
            self.send(flow, SYN | ACK, seq=flow["isn"])
            return
        isn = self.system.random.getrandbits(32)
        flow = {"key": key, "isn": isn, "seq": (isn + 1) & 0xFFFFFFFF, "client-seq": packet.seq,
                "next": (packet.seq + 1) & 0xFFFFFFFF, "ended": False, "open": False, "answer": None, "fin": False}
        self.flows[key] = flow
        self.openings.append((self.system.record.now(), key))
        self.system.record.write("server-took-syn", server=self.name, client=f"{ip_text(key[0])}:{key[1]}",
                                 route=f"{ip_text(key[2])}:{key[3]}", copy=packet.ack, state=self.state)
        self.send(flow, SYN | ACK, seq=isn)

    def on_packet(self, flow, packet):
        flow["open"] = True
        if packet.flags & RST:
            flow["ended"] = True
            return
        if packet.data and packet.seq == flow["next"]:
            flow["next"] = (flow["next"] + len(packet.data)) & 0xFFFFFFFF
            flow["answer"] = None
            asyncio.ensure_future(self.run(flow, packet.data))
        elif packet.data and flow["answer"] is not None:
            self.send(flow, flow["answer"][0], flow["answer"][1], seq=flow["answer"][2])
        if packet.flags & FIN and packet.seq == flow["next"] or (packet.flags & FIN and packet.data):
            flow["next"] = (flow["next"] + 1) & 0xFFFFFFFF
            self.send(flow, ACK if flow["fin"] else FIN | ACK)
            flow["ended"] = True

    async def run(self, flow, request):
        identity = re.search(rb"Request-Id: (\S+)", request)
        identity = identity.group(1).decode() if identity else "?"
        self.runs.append((self.system.record.now(), identity))
        self.system.record.write("server-ran", server=self.name, request=identity, state=self.state)
        await asyncio.sleep(self.work_s)
        body = f"answer of {self.name} to {identity}"
        data = f"HTTP/1.1 200 OK\r\nServer-Stamp: {self.name}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
        flags = ACK
        if self.state == "draining" or b"Connection: close" in request:
            flags |= FIN
            flow["fin"] = True
        flow["answer"] = (flags, data, flow["seq"])
        self.send(flow, flags, data)
        flow["seq"] = (flow["seq"] + len(data) + (1 if flags & FIN else 0)) & 0xFFFFFFFF


class ClientFlow:
    """One end of a flow. open() and request() return what the client saw."""

    def __init__(self, client, port, route):
        self.client, self.port, self.route = client, port, route
        self.isn = client.system.random.getrandbits(32)
        self.seq = (self.isn + 1) & 0xFFFFFFFF
        self.next = 0
        self.is_open, self.reset_by, self.closed = False, None, False
        self.answer = None
        self.event = asyncio.Event()

    def send(self, flags, seq, ack, data=b""):
        client = self.client
        packet = Packet(client.number, self.port, self.route[0], self.route[1], flags, seq, ack, data)
        client.send_packet(packet.encode(), self.port, self.route)

    async def wait(self, until):
        while True:
            left = until - time.monotonic()
            if left <= 0:
                return False
            self.event.clear()
            try:
                await asyncio.wait_for(self.event.wait(), left)
            except asyncio.TimeoutError:
                return False
            if self.is_open or self.reset_by:
                return True

    async def open(self):
        begin = time.monotonic()
        for copy, wait in ((0, 0.2), (1, 0.6), (2, 1.4)):
            self.send(SYN, self.isn, copy)
            if await self.wait(begin + wait):
                return self.is_open
        self.client.flows.pop(self.port, None)
        return False

    async def request(self, identity, timeout=2.0, close=False, size=200):
        data = f"POST / HTTP/1.1\r\nRequest-Id: {identity}\r\n{'Connection: close' if close else 'X: y'}\r\n\r\n"
        data = data.encode().ljust(size, b".")
        record = self.client.system.record
        self.answer = None
        record.write("client-sent", request=identity, port=self.port)
        end, wait = time.monotonic() + timeout, 0.2
        while time.monotonic() < end and not self.reset_by and self.answer is None:
            self.send(ACK, self.seq, self.next, data)
            deadline = min(end, time.monotonic() + wait)
            while time.monotonic() < deadline and not self.reset_by and self.answer is None:
                self.event.clear()
                try:
                    await asyncio.wait_for(self.event.wait(), max(0.001, deadline - time.monotonic()))
                except asyncio.TimeoutError:
                    pass
            wait = min(wait * 2, 1.6)
        if self.answer is not None:
            self.seq = (self.seq + len(data)) & 0xFFFFFFFF
            self.send(ACK | (FIN if self.closed else 0), self.seq, self.next)
            stamp = re.search(rb"Server-Stamp: (\S+)", self.answer)
            record.write("client-answered", request=identity, stamp=stamp.group(1).decode() if stamp else "?",
                         closed=self.closed)
            return stamp.group(1).decode() if stamp else "?"
        record.write("client-failed", request=identity, reset=self.reset_by)
        return None

    def on_packet(self, packet):
        if packet.flags & RST:
            window = (self.next - packet.seq + 76800) & 0xFFFFFFFF
            if self.is_open and packet.is_own_reset() and window > 2 * 76800:
                return
            self.reset_by = "system" if packet.is_own_reset() else "server"
            self.client.system.record.write("client-reset", port=self.port, by=self.reset_by, open=self.is_open)
        elif packet.flags & SYN and not self.is_open:
            self.is_open = True
            self.next = (packet.seq + 1) & 0xFFFFFFFF
            self.send(ACK, self.seq, self.next)
        elif packet.data and packet.seq == self.next:
            self.next = (self.next + len(packet.data)) & 0xFFFFFFFF
            if packet.flags & FIN:
                self.next = (self.next + 1) & 0xFFFFFFFF
                self.closed = True
            self.answer = packet.data
        self.event.set()

    def close(self):
        """The client's FIN; after the server's FIN the flow is closed at both ends."""
        if self.is_open and not self.reset_by and not self.closed:
            self.send(FIN | ACK, self.seq, self.next)
        self.client.flows.pop(self.port, None)


class Client:
    """A client machine: an address, a zone and any number of flows."""

    def __init__(self, system, zone=0, number=1):
        self.system, self.zone = system, zone
        self.ip = system.client_ip(number)
        self.number = ip_number(self.ip)
        self.flows = {}
        self.next_port = 40000

    async def start(self):
        self.socket = await Udp.bind((self.ip, self.system.ports["datagram"]), self.on_datagram)

    def send_packet(self, raw, port, route):
        entry = self.system.route(self.zone, self.number, port, *route)
        self.socket.sendto(raw, (self.system.front_ip(entry), self.system.ports["datagram"]))

    def on_datagram(self, raw, _):
        packet = Packet.decode(raw)
        if not packet or not (packet.is_own_reset() or packet.is_intact()):
            self.system.record.write("client-got-forged-packet")
            return
        flow = self.flows.get(packet.dport)
        if flow and flow.route == (packet.src, packet.sport):
            flow.on_packet(packet)

    def flow(self, route, port=None):
        if port is None:
            port, self.next_port = self.next_port, self.next_port + 1
        flow = ClientFlow(self, port, route)
        self.flows[port] = flow
        return flow


def route_json(name, host, port, service, kind="safe", timeout_ms=2000):
    return {"name": name, "host": host, "path-prefix": f"/{port}/", "kind": kind, "timeout-ms": timeout_ms,
            "target-latency-ms": 150, "priority": 2, "service": service, "max-attempts": 2}


def service_json(name, warm_up_s=2.0, warm_up_per_s=0.0):
    return {"name": name, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": False,
            "warmup-s": warm_up_s, "warmup-per-s": warm_up_per_s}


def config_json(version, routes, services, idle_ms=15000):
    return json.dumps({"version": version, "routes": routes, "services": services,
                       "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                                  "idle-timeout-ms": idle_ms}}, separators=(",", ":"))


def main(case_file, body, **options):
    """Runs `body(system, trouble)`, which returns True when the rule held, and ends all processes."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    system = None
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(COULD_NOT_RUN))

    async def run():
        nonlocal system
        system = System(os.path.dirname(os.path.abspath(case_file)), **options)
        system.record.write("case", trouble=trouble)
        return await asyncio.wait_for(body(system, trouble), 110)

    code = COULD_NOT_RUN
    try:
        held = asyncio.run(run())
        code = HELD if held else BROKEN
    except Exception as error:  # the case could not run
        print(f"could not run: {type(error).__name__}: {error}")
        if system:
            system.record.write("could-not-run", error=repr(error).replace(" ", "_"))
    finally:
        if system:
            system.close()
            system.record.write("result", code=code)
    print({BROKEN: "the rule was broken", HELD: "the rule held", COULD_NOT_RUN: "the case could not run"}[code])
    sys.exit(code)

"""A small deployment on loopback addresses: the project's programs, started with the commands and templates of
deploy/system.toml from the settings that the platform hands out."""

import ctypes
import json
import math
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
CONTROL_PORT, FRONT_PORT, READY_PORT = 8144, 8149, 8141
PORT_RANGE = [7380, 7395]
ZONES = ["zone-a", "zone-b", "zone-c"]
# The bounds of the site that claim.txt names.
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 3000, "ack_timeout_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
    "max_stretch_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 64, "recovery_s": 12,
    "pass_ms": 120, "retry_after_s": 0, "require_fence": True, "lease_ms": 3000, "thaw_slack_ms": 300,
    "ceiling_window_s": 5, "ceiling_overage": 1.1}
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not be played; run.sh exits with 2."""


class Record:
    """Writes the record of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, file):
        self.began_at = time.monotonic()
        self.out = open(file, "w")

    def __call__(self, *words):
        self.out.write(f"{time.monotonic() - self.began_at:8.3f} " + " ".join(str(w) for w in words) + "\n")
        self.out.flush()


# --- Templates, as DEPLOY.md tells them

def look_up(scopes, name):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for key in name.split("."):
            if isinstance(value, list) and key.isdigit() and int(key) < len(value):
                value = value[int(key)]
            elif isinstance(value, dict) and key in value:
                value = value[key]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(as_text(v) for v in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(text, scopes):
    out = ""
    while found := re.search(r"\{\{([#^]?)([^{}/]+)\}\}", text):
        out, text = out + text[:found.start()], text[found.end():]
        kind, name = found[1], found[2]
        if not kind:
            out += as_text(look_up(scopes, name))
            continue
        inner, _, text = text.partition("{{/" + name + "}}")
        value = look_up(scopes, name)
        if kind == "^":
            out += render(inner, scopes) if not value else ""
        elif isinstance(value, list):
            for i, entry in enumerate(value):
                comma = "," if i + 1 < len(value) else ""
                out += render(inner.replace("{{,}}", comma), scopes + [entry])
        elif value:
            out += render(inner, scopes)
    return out + text


# --- Processes

def end_with_parent():
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Process:
    """One program of a machine."""

    def __init__(self, site, machine, role):
        self.site, self.machine, self.role = site, machine, role
        self.name = f"{role}@{machine.name}"
        self.settings_file = os.path.join(site.folder, self.name + ".yaml")
        self.log = os.path.join(site.folder, self.name + ".log")
        self.child = None

    def write_settings(self):
        with open(os.path.join(ROOT, self.site.deploy["roles"][self.role]["template"])) as template:
            text = render(template.read(), [self.machine.settings(self.role)])
        with open(self.settings_file, "w") as out:
            out.write(text)

    def start(self):
        spec = self.site.deploy["roles"][self.role]
        self.write_settings()
        program, *arguments = spec["run"].split()
        arguments = [self.settings_file if a == "/etc/burdockdeck/settings.toml" else a for a in arguments]
        log = open(self.log, "ab")
        self.child = subprocess.Popen([os.path.join(ROOT, program), *arguments], cwd=ROOT, stdout=log, stderr=log,
                                      preexec_fn=end_with_parent)
        self.site.record("start", self.name, "pid", self.child.pid)

    def send_signal(self, number):
        self.site.record("signal", signal.Signals(number).name, self.name)
        self.child.send_signal(number)

    def running(self):
        return self.child is not None and self.child.poll() is None

    def kill(self):
        if self.running():
            self.child.kill()
        if self.child is not None:
            self.child.wait()


class Machine:
    """An `edge` machine, which runs a gateway and may run control, or a `side` machine with a sidecar."""

    def __init__(self, site, name, ip, zone, roles, seeds, app=None, has_disk=True):
        self.site, self.name, self.ip, self.zone, self.seeds, self.app = site, name, ip, zone, seeds, app
        self.has_disk = has_disk
        self.bootstrap = True
        self.disk = os.path.join(site.folder, "disk-" + name)
        self.processes = {role: Process(site, self, role) for role in roles}

    def settings(self, role):
        serves = self.site.deploy["roles"][role]["serves"]
        out = {"node": self.name, "role": role, "machine_class": "side" if self.app else "edge", "serves": serves,
               "ip": self.ip, "zone": self.zone, "region": "region-a", "port_range": PORT_RANGE,
               "seeds": self.seeds, "bootstrap": self.bootstrap, "counts_as_loss": "control" in self.processes and self.has_disk,
               "discovery": "registry", "entry": "vip", "heartbeat_ms": int(HEARTBEAT_S * 1000),
               "config_mode": "highest",
               "listen": {"front": f"{self.ip}:{FRONT_PORT}", "ready": f"{self.ip}:{READY_PORT}",
                          "control": f"{self.ip}:{CONTROL_PORT}"},
               "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS}
        if role == "control" and self.has_disk:
            os.makedirs(self.disk, exist_ok=True)
            out["data_dir"] = self.disk
        if self.app:
            out["app"] = self.app
        return out

    def start(self):
        for process in self.processes.values():
            process.start()

    def kill(self):
        for process in self.processes.values():
            process.kill()

    def lose_disk(self):
        shutil.rmtree(self.disk, ignore_errors=True)


class Site:
    """`edges` machines with a disk, one in each zone; `diskless` more machines in each zone have none. Which of them run
    control follows from `share` in the deploy file."""

    def __init__(self, record_file, edges=3, diskless=0):
        self.record = Record(record_file)
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        for role in self.deploy["roles"].values():
            if not os.path.exists(os.path.join(ROOT, role["run"].split()[0])):
                raise CannotRun(f"{role['run'].split()[0]} is not built")
        self.net, self.guard = reserve_network()
        ips = [f"{self.net}.{i + 1}" for i in range(edges)]
        self.seeds = [f"{ip}:{CONTROL_PORT}" for ip in ips[:3]]
        self.edges = [Machine(self, f"edge-{i + 1}", ip, ZONES[i % 3], ["control", "gateway"], self.seeds)
                      for i, ip in enumerate(ips)]
        in_zone = math.ceil(self.deploy["roles"]["control"]["share"] * (1 + diskless))
        self.diskless = [Machine(self, f"{zone}-{i + 2}", f"{self.net}.{20 * (z + 1) + i}", zone,
                                 ["control", "gateway"] if i + 1 < in_zone else ["gateway"], self.seeds,
                                 has_disk=False)
                         for z, zone in enumerate(ZONES) for i in range(diskless)]
        self.sides = []

    def machines(self):
        return self.edges + self.diskless + self.sides

    def start(self):
        for machine in self.machines():
            machine.start()
        # From now on the system has started: later starts are not the first one.
        for machine in self.machines():
            machine.bootstrap = False

    def add_edge(self):
        """A new machine with an empty disk at a new address."""
        number = len(self.edges) + 1
        machine = Machine(self, f"edge-{number}", f"{self.net}.{number}", ZONES[(number - 1) % 3],
                          ["control", "gateway"], self.seeds)
        machine.bootstrap = False
        self.edges.append(machine)
        return machine

    def stop(self):
        for machine in self.machines():
            machine.kill()
        self.guard.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def reserve_network():
    for _ in range(200):
        net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        guard = socket.socket()
        try:
            guard.bind((f"{net}.254", 7300))
            return net, guard
        except OSError:
            guard.close()
    raise CannotRun("no free loopback network")

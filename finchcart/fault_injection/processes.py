"""A fleet of real processes of the program on loopback.

Owns the folder of a run, its addresses and every process of it: nodes, relay, outside parties, load. It must
end all of them by their own ids whatever happens, and never touch a process that it did not start.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import json5

from finchcart.fault_injection.relay import clock

EXAMPLE = {
    "seed": "1",
    "stop_ms": 2500,
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
    "settings": {
        "contract": {"cold": 0, "overloadFactor": 8.0, "startCapacity": 1.0, "stopSendingWithin": 400_000},
        "familyInfo": {
            "callerIdle": 30_000_000,
            "callsOut": 6.0,
            "callsOver": 5_000_000,
            "classCalls": [True, False],
            "cores": 4,
            "freshStart": False,
            "gauges": ["core_use", "on_cores", "heap_share", "links"],
            "kbPerKey": 130.0,
            "linger": 200_000,
            "memoryKb": 46000.0,
            "preemption": "silent",
            "runFactor": 8.0,
            "say": "level",
            "worthWithout": [0.6, 0.0],
        },
        "limits": {"maxRetryAfter": 1_000_000, "retryAfter": True},
        "round": 2000,
        "services": [
            {
                "name": "look-up",
                "effect": "read_like",
                "worth": 1.0,
                "target": 1_800_000,
                "deadline": 4_600_000,
                "window": 5_000_000,
                "lateWorth": 0.0,
            },
            {
                "name": "book",
                "effect": "idempotency_key",
                "worth": 3.0,
                "target": 1_800_000,
                "deadline": 4_600_000,
                "window": 13_000_000,
                "lateWorth": 0.0,
            },
        ],
        "worthBy": "work",
    },
}


class Processes:
    """`names`: of all nodes that may run; each has a loopback address of its own."""

    def __init__(
        self,
        folder,
        names,
        seed,
        fleet,
        load=None,
        talk=True,
        planners=0,
        limits=(),
        quota=None,
        static=False,
        spares=0,
        verdicts=None,
        claims=None,
    ):
        self.folder, self.load, self.talk = Path(folder), load, talk
        self.count, self.limits = len(names), limits
        self.planners, self.spares = [f"p{n}" for n in range(planners)], [f"x{n}" for n in range(spares)]
        self.names = names = [*names, *self.planners, *self.spares]
        self.seed, self.leader = seed, None  # leader: who was taken for it last
        self.folder.mkdir(parents=True, exist_ok=True)
        self.net = self.free_net()
        self.children, self.nodes, self.lives = [], {}, {}
        self.began = {}  # (name, life) -> boot clock at its start
        self.env = {**os.environ, "MALLOC_ARENA_MAX": "2", "PYTHONPATH": str(Path(__file__).parents[2])}
        self.env.pop("FINCHCART_SETTINGS", None)
        seeds = [f"{self.relayed(name)}:7400" for name in names[:3]]
        shared = (
            {}
            if not limits or static
            else {
                "limits": list(limits),
                "quota": {
                    "planners": [f"{self.relayed(name)}:7400" for name in self.planners],
                    **(quota or {}),
                },
            }
        )
        if verdicts is not None and talk:
            shared["verdicts"] = verdicts
        if claims is not None and talk:
            shared["claims"] = {"keepers": [f"{self.relayed(name)}:7400" for name in self.planners], **claims}
        self.faults = {}  # place of the store -> its state
        self.told = {}  # name -> its settings, to be changed in a run
        for name in names:
            host = self.own(name)
            settings = json.loads(json.dumps(EXAMPLE))
            if limits:
                whole = limits[0].get("in_hand") or limits[0]["rate"]
                share = whole / self.count if static else whole
                settings["settings"]["familyInfo"]["callsOut"] = share
            self.write(
                f"{name}.json",
                {
                    **settings,
                    "name": name,
                    "listen": f"{host}:7001",
                    "pool": f"{host}:9300",
                    "store": f"{self.store_of(name)}:8900",
                    "roster": f"{self.net}.3.1:2379",
                },
            )
            asked = {
                "name": f"trial-{seed}",
                "listen": f"{host}:7400",
                "advertise": f"{self.relayed(name)}:7400",
                "seeds": seeds,
                **fleet,
            }
            self.told[name] = {"fleet": asked, **shared} if talk else {}
            self.write_settings(name)
        try:
            self.relay = self.spawn(
                "relay",
                [sys.executable, "-m", "finchcart.fault_injection.relay"],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            self.order(
                {
                    "seed": seed,
                    "members": [[name, [self.own(name), 7400], [self.relayed(name), 7400]] for name in names],
                }
            )
            assert self.relay.stdout.readline() == "up\n"
            if load:
                self.world(load)
        except BaseException:
            self.end()
            raise

    # ---- addresses

    def free_net(self):
        """The first two parts of the run's loopback addresses: runs side by side don't meet."""
        for n in range(200):
            net = f"127.{20 + (os.getpid() + n) % 200}"
            self.lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                self.lock.bind((f"{net}.3.2", 7399))
                return net
            except OSError:
                self.lock.close()
        raise OSError("no loopback addresses are free")

    def own(self, name):
        return f"{self.net}.1.{self.names.index(name) + 1}"

    def store_of(self, name):
        """Each node has a place of its own at the one store, so that it can fail for some."""
        return f"{self.net}.4.{self.names.index(name) + 1}"

    def relayed(self, name):
        return f"{self.net}.2.{self.names.index(name) + 1}"

    # ---- processes

    def write(self, name, tree):
        (self.folder / name).write_text(json.dumps(tree))

    def write_settings(self, name):
        (self.folder / f"{name}.json5").write_text(json5.dumps(self.told[name], indent=1))

    def spawn(self, name, command, **more):
        log = open(self.folder / f"{name}.log", "ab")
        child = subprocess.Popen(
            command, stderr=log, env={**self.env, **more.pop("env", {})}, start_new_session=True, **more
        )
        log.close()
        self.children.append(child)
        return child

    def world(self, load):
        """Store and registry in one process, worker pools in some."""
        paths = [str(self.folder / f"{name}.json") for name in self.names[: self.count]]
        base = [
            sys.executable,
            "-m",
            "finchcart.simulated_peers.outside",
            "--work-ms",
            str(load.work_ms),
            "--store-work-ms",
            str(load.store_ms),
            "--truth",
            str(self.folder / "truth.jsonl"),
            "--faults",
            str(self.folder / "faults.json"),
        ]
        for word in ("in_hand", "rate", "burst"):
            if self.limits and word in self.limits[0]:
                base += ["--limit" if word == "in_hand" else f"--{word}", str(self.limits[0][word])]
        spin = ["--spin"] if load.spin else []
        if load.keyed:
            base += ["--effects", str(self.folder / "effects.txt")]
        for n in range(load.processes):
            mine = paths[n :: load.processes]
            more = (
                ["--pools-only"]
                if n
                else [
                    word
                    for name in self.names[: self.count]
                    for word in ("--place", f"{self.store_of(name)}:8900")
                ]
            )
            child = self.spawn(f"world{n}", [*base, *spin, *more, *mine], stdout=subprocess.PIPE)
            child.stdout.readline()

    def callers(self, seconds):
        """The load, on all nodes; its figures are in load.json at the end."""
        where = [f"{self.own(name)}:7001" for name in self.names[: self.count]]
        return self.spawn(
            "load",
            [
                sys.executable,
                "-m",
                "finchcart.simulated_peers.load",
                "--rate",
                str(self.load.rate),
                "--seconds",
                str(seconds),
                "--links",
                str(self.load.links),
                "--out",
                str(self.folder / "load.json"),
                "--seed",
                str(self.seed),
                *(["--keyed"] if self.load.keyed else []),
                "--focus",
                str(self.folder / "focus.json"),
                *where,
            ],
        )

    def put(self, name, tree):
        """A file that another process looks at now and then: whole or not at all."""
        path = self.folder / name
        path.with_suffix(".new").write_text(json.dumps(tree))
        path.with_suffix(".new").rename(path)

    def store(self, names, state):
        """The store's state for these nodes."""
        at = self.own if state == "failing" else self.store_of
        self.faults |= {at(name): state for name in names}
        if state == "ok":
            self.faults |= {self.own(name): state for name in names}
        self.put("faults.json", self.faults)

    def flood(self, names, how):
        """Sources that send rubbish to these nodes, if any. `how`: see world/rude.py."""
        self.put("flood.json", {**how, "at": [f"{self.own(name)}:7001" for name in names]})

    def flooder(self):
        self.put("flood.json", {"at": []})
        return self.spawn(
            "flood",
            [
                sys.executable,
                "-m",
                "finchcart.simulated_peers.rude",
                "--net",
                f"{self.net}.9",
                "--orders",
                str(self.folder / "flood.json"),
                "--out",
                str(self.folder / "flood.jsonl"),
            ],
        )

    def say(self, name, kind, of, value, seconds=600.0):
        """An operator's word, told to that node; without a value it is taken back."""
        from finchcart.cli.queries import send_override
        from finchcart.consensus import subjects

        try:
            send_override(
                (self.own(name), 7400),
                subjects.parse_subject(kind, of),
                subjects.parse_value(kind, value) if value else 0,
                seconds,
                "trial",
                1.0,
            )
        except TimeoutError:
            pass  # stopped, or not there

    def focus(self, names):
        """The load goes to these alone; to all where there are none."""
        path = self.folder / "focus.json"
        if names:
            self.put("focus.json", [self.names.index(name) for name in names])
        else:
            path.unlink(missing_ok=True)

    def set_limit(self, name, changes):
        """Other figures of the first limit in the settings of a process, which it is told to read."""
        self.told[name]["limits"] = [
            {**self.told[name]["limits"][0], **changes},
            *self.told[name]["limits"][1:],
        ]
        self.write_settings(name)
        self.hang_up(name)

    def elsewhere(self, name):
        """The name is started once more at the place of a spare, while the first may still be there."""
        spare = self.spares[0]
        path = self.folder / f"{spare}.json"
        self.write(f"{spare}.json", {**json.loads(path.read_text()), "name": name})
        self.start(spare)

    def leads(self):
        """The planner that shares out, by its own word; the last one known where none says so."""
        from finchcart.cli.queries import query_limits

        for name in self.planners:
            try:
                if self.nodes[name].poll() is None and query_limits((self.own(name), 7400), 0.3)["leads"]:
                    self.leader = name
            except TimeoutError:
                pass
        return self.leader or next(iter(self.planners), None)

    def start(self, name):
        life = self.lives[name] = self.lives.get(name, 0) + 1
        self.began[name, life] = clock()
        words = ["serve"]
        if name in self.planners:
            words = ["plan", "--place", f"{self.relayed(name)}:7400", "--listen", f"{self.own(name)}:7400"]
        self.nodes[name] = self.spawn(
            f"{name}.{life}",
            [
                sys.executable,
                "-m",
                "finchcart",
                *words,
                "--log",
                "json",
                "--settings",
                str(self.folder / f"{name}.json5"),
            ],
            env={"ROUTER_CONFIG": str(self.folder / f"{name}.json")},
        )

    def truth(self, name="truth.jsonl"):
        """The store's own count, a line about every 0.2 s; or what became of the flooding sources' RPCs."""
        path = self.folder / name
        lines = path.read_text().splitlines() if path.exists() else []
        return [json.loads(line) for line in lines]

    def signal(self, name, number):
        node = self.nodes.get(name)
        if node and node.poll() is None:
            node.send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.nodes[name].wait()

    def stop(self, name):
        self.signal(name, signal.SIGSTOP)

    def go_on(self, name):
        self.signal(name, signal.SIGCONT)

    def term(self, name):
        self.signal(name, signal.SIGTERM)

    def hang_up(self, name):
        self.signal(name, signal.SIGHUP)

    def order(self, order):
        self.relay.stdin.write(json.dumps(order) + "\n")
        self.relay.stdin.flush()

    def counts(self):
        self.order({"do": "counts"})
        return json.loads(self.relay.stdout.readline())

    def running(self):
        return [name for name, node in self.nodes.items() if node.poll() is None]

    def usage(self, name):
        """CPU seconds and peak MB of a node."""
        pid = self.nodes[name].pid
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        peak = next(
            line for line in Path(f"/proc/{pid}/status").read_text().splitlines() if line.startswith("VmHWM")
        )
        return sum(map(int, fields[11:13])) / os.sysconf("SC_CLK_TCK"), int(peak.split()[1]) / 1024

    def end(self):
        for child in self.children:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        end = time.monotonic() + 10
        for child in self.children:
            try:
                child.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                pass
        self.lock.close()
